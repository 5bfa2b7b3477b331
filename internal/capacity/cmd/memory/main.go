// Command memory measures an entry process whose tables have the target size, idle and
// under control traffic.
//
//	go build -o bin/bergamotrudder . && go run ./internal/capacity/cmd/memory -binary bin/bergamotrudder
//
// It serves the platform's stand-in and the peers that the entry calls, and starts the
// binary once for each value of GOGC; "default" leaves GOGC unset.
// Traffic is one configuration change every -change and one digest from a peer every -digest.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/capacity"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/localfleet"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const (
	sharedSecret = "a shared secret of the fleet"
	operatorKey  = "an operators' key of the fleet"
	// listeners is the number of addresses that the peers of a role share, about as many
	// as the processes that an entry keeps connections to.
	listeners = 16
	domains   = 16
	stages    = 4
	pipelines = 9
	// entryWait is the time that the entry gets to fill its tables after its start, and to
	// shut down before it is killed.
	entryWait = 15 * time.Second
)

// peers simulates the fleet's other processes; several share a listener.
type peers struct {
	platform *localfleet.Platform
	holder   *configuration.Holder
	client   *peer.Client
	doc      fleet.Document
	records  []membership.Record
	listed   []membership.ListedInstance
	entries  []*membership.Table
}

func main() {
	binary := flag.String("binary", "", "program to measure")
	values := flag.String("gogc", "100,50,25,default", "values of GOGC, with commas")
	duration := flag.Duration("duration", 30*time.Second, "time to measure idle and under traffic")
	change := flag.Duration("change", 4*time.Second, "time between two configuration changes")
	digest := flag.Duration("digest", 600*time.Millisecond, "time between two digests from peers")
	flag.Parse()
	if err := run(*binary, strings.Split(*values, ","), *duration, *change, *digest); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary string, values []string, duration, change, digest time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := newPeers(ctx)
	if err != nil {
		return err
	}
	fmt.Println("| GOGC | state | resident MB | of it anonymous MB | live heap MB | heap goal MB | collections/min | % of a core |\n|---|---|---|---|---|---|---|---|")
	for _, value := range values {
		e, err := startEntry(ctx, binary, value, p.platform.URL())
		if err != nil {
			return err
		}
		time.Sleep(entryWait)
		err = e.measure("idle", duration)
		if err == nil {
			stop := p.traffic(ctx, e.peerAddress, change, digest)
			err = e.measure("traffic", duration)
			stop()
		}
		e.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// newPeers starts the platform's stand-in and the listeners, and commits the configuration.
func newPeers(ctx context.Context) (*peers, error) {
	f, err := localfleet.New(ctx, localfleet.Config{Secret: sharedSecret, OperatorKey: operatorKey, LogLevel: "error"})
	if err != nil {
		return nil, err
	}
	p := &peers{platform: f.Platform(), client: peer.NewClient(sharedSecret, nil), doc: document(capacity.Target())}
	p.holder = configuration.NewHolder(&log.Logger{Level: log.ErrorLevel}, tally.NoopScope)
	if err := p.commit(ctx); err != nil {
		return nil, err
	}
	if err := p.listen(ctx); err != nil {
		return nil, err
	}
	for _, l := range p.listed {
		if err := p.platform.PutInstance(ctx, l.Instance); err != nil {
			return nil, err
		}
	}
	for _, t := range p.entries {
		t.Merge(p.records)
	}
	return p, nil
}

// commit writes the configuration to the store and loads it into the holder.
func (p *peers) commit(ctx context.Context) error {
	if _, err := p.platform.Commit(ctx, p.doc); err != nil {
		return err
	}
	_, err := configuration.NewLoader(p.platform.ConfigurationStore(), p.holder).Load(ctx)
	return err
}

// listen starts the listeners and builds the list of instances of the target size.
func (p *peers) listen(ctx context.Context) error {
	target := capacity.Target()
	for role, count := range map[fleet.Role]int{fleet.RoleEntry: int(target.Entries) - 1, fleet.RoleSidecar: int(target.Sidecars)} {
		var addresses []string
		for i := range listeners {
			address, err := p.serve(ctx, role, fmt.Sprintf("%s-%d", role, i))
			if err != nil {
				return err
			}
			addresses = append(addresses, address)
		}
		for i := range count {
			r := fleet.InstanceRecord{
				Name: fmt.Sprintf("%s-%d", role, i), Role: role, FailureDomain: fmt.Sprint("domain-", i%domains),
				Address: addresses[i%listeners], Phase: fleet.PhaseLive,
			}
			if role == fleet.RoleSidecar {
				r.Stage, r.Upstream = stageName(i), fmt.Sprint("upstream-", i)
			}
			p.listed = append(p.listed, membership.ListedInstance{Version: uint64(len(p.listed) + 1), Instance: r})
			r.Incarnation = instance.NewIncarnation()
			p.records = append(p.records, membership.Record{Name: r.Name, Self: membership.SelfState{Epoch: uint64(time.Now().UnixMilli()), Instance: r}})
		}
	}
	return nil
}

// serve starts a listener that responds as a process of the role.
func (p *peers) serve(ctx context.Context, role fleet.Role, name string) (string, error) {
	server := peer.NewServer(sharedSecret)
	l, err := instance.Listen(ctx, "127.0.0.1:0", server)
	if err != nil {
		return "", err
	}
	self := fleet.InstanceRecord{Name: name, Role: role, FailureDomain: "domain-0", Address: l.Address(), Incarnation: instance.NewIncarnation()}
	table := membership.NewTable(self, 1, tally.NoopScope)
	if role == fleet.RoleEntry {
		p.entries = append(p.entries, table)
	}
	service := exchange.NewService(p.holder, table, exchange.NewFreshness(), tally.NoopScope)
	if err := server.Register(exchange.ServiceName, service); err != nil {
		return "", err
	}
	go func() { _ = l.Serve() }()
	return l.Address(), nil
}

// traffic sends the entry digests and changes the configuration until the returned function is called.
func (p *peers) traffic(ctx context.Context, address string, change, digest time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{}, 2)
	repeat := func(period time.Duration, fn func() error) {
		defer func() { done <- struct{}{} }()
		for ctx.Err() == nil {
			if err := fn(); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, err)
			}
			select {
			case <-time.After(period):
			case <-ctx.Done():
			}
		}
	}
	go repeat(digest, func() error {
		req := &exchange.DigestRequest{Digest: exchange.Digest{Generation: p.holder.Generation(), Membership: p.entries[0].Digest()}}
		return p.client.Call(ctx, address, exchange.MethodDigest, req, &exchange.DigestReply{})
	})
	go repeat(change, func() error {
		p.doc.Organisations[0].Weight = p.doc.Organisations[0].Weight%100 + 1
		return p.commit(ctx)
	})
	return func() {
		cancel()
		<-done
		<-done
	}
}

func stageName(i int) string { return fmt.Sprint("stage-", i%stages) }

// document returns a configuration with the pipelines, organisations and upstreams of the
// target size.
func document(target capacity.Plan) fleet.Document {
	var doc fleet.Document
	for i := range domains {
		doc.FailureDomains = append(doc.FailureDomains, fleet.FailureDomain{Name: fmt.Sprint("domain-", i)})
	}
	for i := range stages {
		doc.Stages = append(doc.Stages, fleet.Stage{Name: stageName(i), Protocol: fleet.ProtocolChat, Model: fmt.Sprint("model-", i), Idempotent: true, Capacity: 8, ColdCapacity: 1})
	}
	for i := range pipelines {
		doc.Pipelines = append(doc.Pipelines, fleet.Pipeline{
			Name: fmt.Sprint("pipeline-", i), DeadlineMs: 3000,
			Steps: []fleet.Step{{Stage: stageName(i)}, {Stage: stageName(i + 1)}, {Stage: stageName(i + 2)}},
		})
	}
	for i := range int(target.Organisations) {
		var key [32]byte
		_, _ = rand.Read(key[:])
		name := fmt.Sprint("organisation-", i)
		doc.Organisations = append(doc.Organisations, fleet.Organisation{Name: name, KeySHA256: hex.EncodeToString(key[:]), Weight: 1})
		doc.Rules = append(doc.Rules, fleet.Rule{Organisation: name, Pipeline: fleet.AnyPipeline, MaxPriority: fleet.PriorityHigh})
	}
	for i := range int(target.Sidecars) {
		doc.Upstreams = append(doc.Upstreams, fleet.Upstream{Name: fmt.Sprint("upstream-", i), Stage: stageName(i), FailureDomain: fmt.Sprint("domain-", i%domains)})
	}
	return doc
}

var errNoCollection = errors.New("the entry's trace has no line of a garbage collection")
