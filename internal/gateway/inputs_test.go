package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// Guards against results that keep the room of a stage that is short of it until the next
// stage has ended, although its call has read them, and against results that are released
// without need, so that the pieces can't be run again elsewhere.
func TestReadInputsAreReleasedWhereRoomIsShort(t *testing.T) {
	for _, short := range []bool{false, true} {
		for _, atOwner := range []bool{false, true} {
			withGatewayPair(t, func(t *testing.T, p *pair) {
				const second = "rank"
				cfg := testConfiguration()
				cfg.Version = 2
				first := *cfg.Services[2].Batch
				first.CallTime, first.Size, first.ResultCapacityBytes = 400*time.Millisecond, 8, 4000
				cfg.Services[2].Batch = &first
				cfg.Services = append(cfg.Services, cfg.Services[2])
				cfg.Services[len(cfg.Services)-1].Name = second
				staged := &cfg.Routes[4]
				staged.Objective, staged.Timeout, staged.Stages[1].Service = 5*time.Second, 20*time.Second, second
				p.stage.delay = 400 * time.Millisecond
				ranked := p.owner.upstream(second, &stageUpstream{delay: 400 * time.Millisecond})
				p.other.cat.SetUpstream(ranked, at(0))
				p.owner.cat.SetConfiguration(cfg, at(2))
				p.other.cat.SetConfiguration(cfg, at(2))
				time.Sleep(time.Second)

				f := p.other
				if atOwner {
					f = p.owner
				}
				started := time.Now()
				isReleased := func() bool { return slices.Contains(p.stage.releasedHandles(), "r1/0/0") }
				done := make(chan struct{})
				go func() {
					defer close(done)
					resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", remaining: 15 * time.Second, header: http.Header{testPieces: {"1 1 0"}, testPieceKey: {"k"}}})
					if err != nil || resp.StatusCode != http.StatusOK {
						t.Errorf("got %+v, %v", resp, err)
					}
				}()
				if short {
					time.Sleep(10 * time.Millisecond)
					end := time.Now().Add(time.Hour)
					waiting := pieces.Job{Piece: dialect.Piece{ID: "waiting"}, Bytes: 1000, Due: end, GiveUp: end, Deadline: end}
					go func() { _, _ = p.owner.stages.run(t.Context(), stageService, waiting, 12) }()
				}
				time.Sleep(time.Until(started.Add(400*time.Millisecond + inputReadAllowance)))
				if got := isReleased(); got != short {
					t.Errorf("short of room %t, at the owner %t: released during the call of the next stage: %t", short, atOwner, got)
				}
				<-done
				time.Sleep(time.Second)
				if !isReleased() {
					t.Errorf("short of room %t, at the owner %t: not released after the call of the next stage", short, atOwner)
				}
				time.Sleep(20 * time.Second)
			})
		}
	}
}

// inputReadAllowance is longer than a call may take to read its inputs, and shorter than a
// call of the test.
const inputReadAllowance = 200 * time.Millisecond
