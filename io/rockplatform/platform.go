package rockplatform

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
)

var (
	// ErrUnavailable is returned for a read without a valid response, and for a write that had no effect:
	// the request did not reach the service, or the service reported that it did nothing.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrOutcomeUnknown is returned for a write that may or may not have taken effect.
	ErrOutcomeUnknown = eris.New("no response from the platform to a write, outcome unknown")
	// ErrConflict is returned for a write to a row that has another version than expected.
	ErrConflict = eris.New("row has another version than expected")
	// ErrNotFound is returned for an object that does not exist.
	ErrNotFound = eris.New("object not found")
)

// HostList is the JSON body of the platform's host list.
type HostList struct {
	Hosts []rocktable.ListedHost `json:"hosts"`
}

// Row is a row of the table service.
type Row struct {
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"` // 0 where there is no row
	Era     uint64          `json:"-"`       // of the store that answered; 0 if it does not tell
}

// PutRequest is the JSON body of a write, which takes effect only if the row has the expected version.
type PutRequest struct {
	Value           json.RawMessage `json:"value"`
	ExpectedVersion uint64          `json:"expectedVersion"` // 0 means that the row must not exist
}

// Platform sends requests to the platform through function fields, which tests replace.
type Platform struct {
	// Hosts returns the hosts and backend servers of the host list that are live or leaving.
	Hosts func(ctx context.Context) ([]rocktable.ListedHost, error)
	// Get reads a row. It returns version 0 for a row that does not exist.
	Get func(ctx context.Context, table, key string) (Row, error)
	// Put writes a row and returns it with its new version. With ErrConflict it returns the row
	// that is stored instead.
	Put func(ctx context.Context, table, key string, req PutRequest) (Row, error)
	// ReadTable reads a followed table or its changes; nil unless the platform pushes them.
	ReadTable func(ctx context.Context, r rocktable.TableRead) rocktable.TableReadEnded
	GetObject func(ctx context.Context, name string) ([]byte, error)
	PutObject func(ctx context.Context, name string, body []byte) error
	// Close closes idle connections.
	Close func()
}
