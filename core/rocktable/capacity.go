package rocktable

import "time"

// Capacity is the room that the backend servers of a pipeline have for requests, as this host knows it.
type Capacity struct {
	UpdatedAt    time.Time
	UsedFraction float64   // of the usable memory of the layer with the least room, over all data centres
	RefusedAt    time.Time // last time that a backend server refused a request of this host for lack of room
	ShortSince   time.Time // since when room is short; zero while it is not
}
