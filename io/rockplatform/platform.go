package rockplatform

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
)

var (
	// ErrUnavailable says that the operation did not reach the service, or that the service said that it did nothing.
	ErrUnavailable = eris.New("the platform cannot be reached")
	// ErrUnclear says that a write may or may not have taken effect.
	ErrUnclear = eris.New("the platform's answer was lost")
	// ErrConflict says that the row has another version than expected.
	ErrConflict = eris.New("the row has another version")
	// ErrNotFound says that there is no object of that name.
	ErrNotFound = eris.New("there is no such object")
)

// HostList is the body of the platform's host list.
type HostList struct {
	Hosts []rocktable.ListedHost `json:"hosts"`
}

// Row is a row of the table service.
type Row struct {
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"` // 0 where there is no row
}

// PutRequest is the body of a write: it takes effect only if the row has the expected version.
type PutRequest struct {
	Value           json.RawMessage `json:"value"`
	ExpectedVersion uint64          `json:"expectedVersion"` // 0 means that the row must not exist
}

// Platform sends requests to the platform; tests fill in the fields.
type Platform struct {
	// Hosts returns the list of hosts that are live or leaving.
	Hosts func(ctx context.Context) ([]rocktable.ListedHost, error)
	// Get reads a row; a row that does not exist has version 0.
	Get func(ctx context.Context, table, key string) (Row, error)
	// Put writes a row and returns the row as it is then stored, with ErrConflict as the other side's row.
	Put func(ctx context.Context, table, key string, req PutRequest) (Row, error)
	// GetObject reads an object.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object.
	PutObject func(ctx context.Context, name string, body []byte) error
	// Close closes the connections that no operation uses.
	Close func()
}
