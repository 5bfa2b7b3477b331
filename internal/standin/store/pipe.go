package store

import (
	"net/http"

	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

// PipeURL is the base URL for the client of Pipe.
const PipeURL = "http://store"

// Pipe serves h over in-memory connections, which work under testing/synctest, and
// returns a client for them and a function that closes both.
func Pipe(h http.Handler) (*http.Client, func()) { return pipe.Client(h) }
