package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// downTime is how long the crashed server is down, and registerDelay how long after its start it
	// writes its entry: at its first heartbeat, of which there is one each 1.2 s.
	downTime      = 50 * time.Millisecond
	registerDelay = 900 * time.Millisecond
	// clientPause is the pause of a client between two requests.
	clientPause = 40 * time.Millisecond
)

// crash ends the server, as a crash does, and starts it again under its id and address.
func (s *server) crash() error {
	_ = s.http.Close()
	time.Sleep(downTime)
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born, s.http = time.Now().UnixMilli(), &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.d.closers = append(s.d.closers, s.http)
	s.d.rec.add("%s starts again, born %d", s.id, s.born)
	time.Sleep(registerDelay)
	s.register("ready")
	s.d.rec.add("%s has registered", s.id)
	return nil
}

// passedOn is an answer that a gateway passed on.
type passedOn struct {
	id        string
	sent      time.Time
	done      time.Time
	isLeaving bool
}

// ask sends requests to the gateway on a kept channel, one after the other, until stop.
func (d *deployment) ask(i int, stop chan struct{}) []passedOn {
	g := d.gateways[i]
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	var list []passedOn
	for n := 0; ; n++ {
		select {
		case <-stop:
			return list
		case <-time.After(clientPause):
		}
		p := passedOn{id: fmt.Sprintf("%x%015x", i+1, n), sent: time.Now()}
		r, _ := http.NewRequest(http.MethodGet, "http://"+g.front+lookupPath+"2f", nil)
		r.Host = host
		r.Header.Set(headerID, p.id)
		r.Header.Set(headerRemaining, "1000")
		r.Header.Set("Authorization", "Token "+apiKey)
		d.rec.add("send %s to %s", p.id, g.name)
		resp, err := client.Do(r)
		if err != nil {
			d.rec.add("answer %s none: %v", p.id, err)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		p.done, p.isLeaving = time.Now(), resp.Header.Get(headerLeaving) != ""
		d.rec.add("answer %s %d %v, leaving %t", p.id, resp.StatusCode, err, p.isLeaving)
		list = append(list, p)
	}
}

// leaving lets a server that has crashed a while before say that it leaves.
func leaving(d *deployment, trouble bool) (bool, string, error) {
	d.configure()
	for i := range 4 {
		if err := d.startServer(i, service, 6); err != nil {
			return false, "", err
		}
	}
	for i := range 4 {
		if err := d.addGateway(i); err != nil {
			return false, "", err
		}
	}
	stop := make(chan struct{})
	go d.probe(stop)
	if !d.waitReady(15 * time.Second) {
		close(stop)
		return false, "", errSetup
	}
	answers := make([]chan []passedOn, len(d.gateways))
	for i := range answers {
		answers[i] = make(chan []passedOn, 1)
		go func() { answers[i] <- d.ask(i, stop) }()
	}
	time.Sleep(4 * time.Second)
	s := d.servers[0]
	if trouble {
		if err := s.crash(); err != nil {
			close(stop)
			return false, "", err
		}
	}
	time.Sleep(3 * time.Second)
	s.isLeaving.Store(true)
	d.rec.add("%s leaves, and says so in its answers", s.id)
	time.Sleep(5 * time.Second)
	s.register("draining")
	d.rec.add("%s has reported that it drains", s.id)
	time.Sleep(time.Second)
	close(stop)
	reached := make(map[string]time.Time)
	all := make([][]passedOn, len(answers))
	for i := range answers {
		all[i] = <-answers[i]
	}
	d.mu.Lock()
	for _, a := range d.arrivals {
		if a.server == s.id {
			reached[a.id] = a.at
		}
	}
	d.mu.Unlock()
	n, told, latest := 0, 0, time.Duration(0)
	for i, list := range all {
		var first time.Time
		for _, p := range list {
			_, isReached := reached[p.id]
			if p.isLeaving && first.IsZero() {
				first = p.done
				told++
			}
			if isReached && !first.IsZero() && p.sent.Sub(first) > drainMs {
				n, latest = n+1, max(latest, p.sent.Sub(first))
				d.rec.add("%s passed %s on, sent %.2f s after it had passed on the answer", d.gateways[i].name, p.id, p.sent.Sub(first).Seconds())
			}
		}
	}
	seen := fmt.Sprintf("%d gateways passed on an answer with Server-Leaving; %d requests that were sent later than %v after that reached the server from the same gateway, the last one %.1f s", told, n, drainMs, latest.Seconds())
	if told == 0 {
		return false, "", fmt.Errorf("no gateway was told: %s", seen)
	}
	return n > 0, seen, nil
}
