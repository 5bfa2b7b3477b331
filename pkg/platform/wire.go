package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/jsonlist"
)

// Wire is the format of one object API: its paths, bodies and statuses. Every function
// is required unless its comment states otherwise.
type Wire struct {
	// Path returns the URL path of a kind, or of one object if name is not empty.
	Path func(kind Kind, name string) string
	// StatusPath returns the URL path at which the status of an object is replaced, and
	// EncodeStatus the JSON value of an object whose status is written. Both are nil for an API
	// without statuses.
	StatusPath   func(kind Kind, name string) string
	EncodeStatus func(Object) any
	// ListQuery returns the query for the page of a list that follows the named object;
	// after is empty for the first page.
	ListQuery func(after string) url.Values
	// WatchQuery returns the query for a watch from the version. An API with long polling
	// replies after timeout at the latest.
	WatchQuery func(version string, timeout time.Duration) url.Values
	// UsesLongPolling is set for an API that delays the reply to a watch until there is a
	// change. Other APIs stream changes in one response.
	UsesLongPolling bool
	// Delete returns the query and the body of a delete, which is conditional on the
	// version unless that is empty.
	Delete func(version string) (url.Values, any)
	// Encode returns the JSON value of an object to write.
	Encode func(Object) any
	// DecodeObject decodes the reply to a get, a create or an update.
	DecodeObject func(Kind, []byte) (Object, error)
	// DecodeList decodes one page of a list. The string is the name after which the next
	// page starts, or empty after the last page.
	DecodeList func(Kind, []byte) (List, string, error)
	// DecodeChanges decodes the reply to a long poll: the changes and the version to watch
	// from next. It may be nil if UsesLongPolling is not set.
	DecodeChanges func(Kind, []byte) ([]Event, string, error)
	// Epoch returns the epoch of the store that a response states, or 0. It is nil for an API
	// whose store never returns to an earlier state.
	Epoch func(http.Header) uint64
	// DecodeStatus decodes a response whose status is not 2xx.
	DecodeStatus func(code int, body []byte) *StatusError
	// IsWithoutEffect reports whether a response with the status proves that the call had
	// no effect.
	IsWithoutEffect func(code int) bool
}

// KubernetesWire returns the wire format of the Kubernetes API conventions.
func KubernetesWire(namespace string) Wire {
	return Wire{
		Path: func(kind Kind, name string) string {
			path := pathPrefix + namespace + "/" + string(kind)
			if name != "" {
				path += "/" + url.PathEscape(name)
			}
			return path
		},
		StatusPath: func(kind Kind, name string) string {
			return pathPrefix + namespace + "/" + string(kind) + "/" + url.PathEscape(name) + "/status"
		},
		EncodeStatus: func(o Object) any {
			w := o.wire(namespace)
			w.Spec, w.Status = nil, o.Status
			return w
		},
		ListQuery: func(string) url.Values { return nil },
		WatchQuery: func(version string, _ time.Duration) url.Values {
			return url.Values{
				"watch":               {"1"},
				"allowWatchBookmarks": {"true"},
				"resourceVersion":     {version},
				"timeoutSeconds":      {strconv.Itoa(int(WatchTimeout / time.Second))},
			}
		},
		Delete: func(version string) (url.Values, any) {
			return nil, deleteOptions{APIVersion: "v1", Kind: "DeleteOptions", Preconditions: preconditions{ResourceVersion: version}}
		},
		Encode:       func(o Object) any { return o.wire(namespace) },
		DecodeObject: decodeKubernetesObject,
		DecodeList:   decodeKubernetesList,
		DecodeStatus: decodeKubernetesStatus,
		// A 5xx status may come from a proxy that lost the response of the server behind it.
		IsWithoutEffect: func(code int) bool { return code < http.StatusInternalServerError },
	}
}

func decodeKubernetesObject(kind Kind, b []byte) (Object, error) {
	var w wireObject
	if err := json.Unmarshal(b, &w); err != nil {
		return Object{}, errors.Wrap(err, "decoding the object")
	}
	return w.object(kind), nil
}

func decodeKubernetesList(kind Kind, b []byte) (List, string, error) {
	var w wireList
	if json.Unmarshal(b, &w) != nil {
		// One object that encoding/json rejects must not hide the others.
		items, others, err := jsonlist.Split(b, "items", "apiVersion", "kind", "metadata", "spec")
		if err == nil {
			err = json.Unmarshal(others["metadata"], &w.Metadata)
		}
		if err != nil {
			return List{}, "", errors.Wrap(err, "decoding the list")
		}
		w.Items = items
	}
	list := List{ResourceVersion: w.Metadata.ResourceVersion}
	for _, item := range w.Items {
		if o := readListed(item); o.Metadata.Name != "" {
			list.Items = append(list.Items, o.object(kind))
		}
	}
	return list, "", nil
}

// readListed reads an object of a list. Of one that can't be decoded only the metadata is read,
// as far as it can be.
func readListed(b []byte) wireObject {
	var o wireObject
	if json.Unmarshal(b, &o) != nil {
		o = wireObject{}
		_ = json.Unmarshal(jsonlist.Members(b)["metadata"], &o.Metadata)
	}
	return o
}

func decodeKubernetesStatus(code int, b []byte) *StatusError {
	status := wireStatus{Message: string(b)}
	if err := json.Unmarshal(b, &status); err != nil {
		status = wireStatus{Message: fmt.Sprintf("%q", b)}
	}
	return &StatusError{Code: code, Reason: status.Reason, Message: status.Message}
}
