// Command store runs the stand-in for the platform's object API.
package main

import (
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/standin/store"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7000", "IP address and port to listen on")
	seed := flag.Uint64("seed", 1, "seed for the selection of lost replies")
	history := flag.Int("history", store.DefaultHistory, "number of events stored for watches")
	flag.Parse()
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	hs := &http.Server{
		Addr:              *listen,
		Handler:           store.New(store.Config{Seed: *seed, History: *history}),
		ReadHeaderTimeout: 10 * time.Second,
	}
	logger.Info().Str("listen", *listen).Msg("starting the object API stand-in")
	if err := hs.ListenAndServe(); err != nil {
		logger.Error().Err(err).Msg("object API stand-in failed")
		os.Exit(1)
	}
}
