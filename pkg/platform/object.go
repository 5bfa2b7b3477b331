package platform

import "encoding/json"

// Object is one object of the platform.
type Object struct {
	Kind Kind
	// Name is a DNS subdomain name as of RFC 1123.
	Name string
	// ResourceVersion is opaque; it changes with each change of the object.
	ResourceVersion string
	// Spec is a JSON value.
	Spec json.RawMessage
}

// List is the objects of one kind at one moment.
type List struct {
	Items []Object
	// ResourceVersion is where a watch goes on from the list.
	ResourceVersion string
}

// EventType says what a watch event means.
type EventType string

// Event types. A bookmark carries nothing but a resourceVersion to go on from.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	EventBookmark EventType = "BOOKMARK"
	EventError    EventType = "ERROR"
)

// Event is one change that a watch saw.
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
}

type wireList struct {
	Metadata metadata     `json:"metadata"`
	Items    []wireObject `json:"items"`
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
	return Object{Kind: kind, Name: w.Metadata.Name, ResourceVersion: w.Metadata.ResourceVersion, Spec: w.Spec}
}
