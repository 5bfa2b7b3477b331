package main

import (
	"fmt"
	"time"
)

// Bounds of the small deployment, and the number of entries that another writer leaves.
const (
	drainMs    = 2 * time.Second
	recoveryS  = 12 * time.Second
	oddEntries = 40
)

// begin starts four gateways, four servers and the traffic. The returned function ends the traffic
// and waits for the answers.
func (d *deployment) begin(perSecond int) (end func(), err error) {
	d.configure()
	for i := range 4 {
		if err := d.startServer(i, service, 6); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := d.addGateway(i); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	go d.probe(stop)
	if !d.waitReady(15 * time.Second) {
		close(stop)
		return nil, errSetup
	}
	go d.traffic(perSecond, stop)
	return func() {
		close(stop)
		d.inFlight.Wait()
	}, nil
}

// leaveOddEntries writes entries of servers in a format of another writer, which can't be read.
func (d *deployment) leaveOddEntries() {
	for i := range oddEntries {
		d.store.put("servers", fmt.Sprintf("batch-%03d", i), fmt.Sprintf("service=batch;address=127.0.0.9:%d", 9000+i))
	}
	d.rec.add("another writer left %d entries that can't be read", oddEntries)
}

// oddEntriesRecover kills all gateways while the store has the odd entries.
func oddEntriesRecover(d *deployment, trouble bool) (bool, string, error) {
	end, err := d.begin(20)
	if err != nil {
		return false, "", err
	}
	began := time.Now()
	time.Sleep(4 * time.Second)
	if trouble {
		d.leaveOddEntries()
	}
	time.Sleep(4 * time.Second)
	for _, g := range d.gateways {
		g.kill()
	}
	killed := time.Now()
	time.Sleep(500 * time.Millisecond)
	for _, g := range d.gateways {
		if err := d.startGateway(g); err != nil {
			end()
			return false, "", err
		}
	}
	back := time.Now()
	time.Sleep(recoveryS + 8*time.Second)
	end()
	sentBefore, servedBefore := d.served(began, killed.Add(-time.Second))
	sent, served := d.served(back.Add(recoveryS), time.Now())
	seen := fmt.Sprintf("%d of %d requests were served before all gateways were killed, and %d of %d sent later than %v after they were back", servedBefore, sentBefore, served, sent, recoveryS)
	if 4*servedBefore < sentBefore || sent == 0 {
		return false, "", fmt.Errorf("too little was served before the fault: %s", seen)
	}
	return 4*served < sent, seen, nil
}

// oddEntriesDrain lets a server drain while the store has the odd entries.
func oddEntriesDrain(d *deployment, trouble bool) (bool, string, error) {
	end, err := d.begin(40)
	if err != nil {
		return false, "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		d.leaveOddEntries()
	}
	time.Sleep(6 * time.Second)
	leaving := d.servers[0]
	acknowledged := leaving.register("draining")
	d.rec.add("draining of %s acknowledged", leaving.id)
	time.Sleep(drainMs + 6*time.Second)
	d.store.remove("servers", leaving.id)
	end()
	n, last := d.later(leaving.id, acknowledged.Add(drainMs))
	seen := fmt.Sprintf("%d requests reached %s later than %v after its draining was acknowledged", n, leaving.id, drainMs)
	if n > 0 {
		seen += fmt.Sprintf(", the last one %.1f s after it", last.Sub(acknowledged).Seconds())
	}
	return n > 0, seen, nil
}
