package platform

import "encoding/json"

// Object is an object that is stored by the platform.
type Object struct {
	Kind Kind
	// Name is a DNS subdomain name as defined in RFC 1123.
	Name string
	// ResourceVersion is an opaque version that changes with each change of the object.
	ResourceVersion string
	// Epoch is the epoch of the store in which the object was read; see Client.Epoch.
	Epoch uint64
	// Spec is a JSON value.
	Spec json.RawMessage
	// Status is a JSON value or empty. Only UpdateStatus writes it.
	Status json.RawMessage
}

// List holds all objects of one kind.
type List struct {
	Items []Object
	// ResourceVersion is the version from which a watch continues the list.
	ResourceVersion string
	// Epoch is the epoch of the store in which the list was read.
	Epoch uint64
}

// EventType is the type of a watch event.
type EventType string

// Event types. A bookmark contains only a resourceVersion from which to continue.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	EventBookmark EventType = "BOOKMARK"
	EventError    EventType = "ERROR"
)

// Event is one change or bookmark received by a watch.
type Event struct {
	Type   EventType
	Object Object
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	Namespace       string `json:"namespace,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type wireObject struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

type wireList struct {
	Metadata metadata          `json:"metadata"`
	Items    []json.RawMessage `json:"items"`
}

type wireEvent struct {
	Type   EventType       `json:"type"`
	Object json.RawMessage `json:"object"`
}

type wireStatus struct {
	Message string `json:"message"`
	Reason  Reason `json:"reason"`
	Code    int    `json:"code"`
}

func (o Object) wire(namespace string) wireObject {
	return wireObject{
		APIVersion: APIVersion,
		Kind:       kindNames[o.Kind],
		Metadata:   metadata{Name: o.Name, Namespace: namespace, ResourceVersion: o.ResourceVersion},
		Spec:       o.Spec,
	}
}

func (w wireObject) object(kind Kind) Object {
	return Object{Kind: kind, Name: w.Metadata.Name, ResourceVersion: w.Metadata.ResourceVersion, Spec: w.Spec, Status: w.Status}
}
