package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fieldsPerHeader fields keep the header of a request below 16,384 bytes.
	fieldsPerHeader = 1950
	// streamsPerGateway is the number of streams that are open at a gateway at a time.
	streamsPerGateway = 1000
	// streamTime is how long a stream lasts, and crowdTime how long the crowd is at a gateway.
	streamTime = 8 * time.Second
	crowdTime  = 25 * time.Second
)

// fields returns so many fields of a header with names of their own.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s: 1\r\n", fieldName(i))
	}
	return b.String()
}

func fieldName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{letters[i/676%26], letters[i/26%26], letters[i%26]})
}

// hold opens streams one after the other on a kept channel of the gateway until stop.
func (d *deployment) hold(g *gateway, header string, stop chan struct{}, sent, served *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", g.front, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		br := bufio.NewReader(conn)
		for ok := true; ok; {
			select {
			case <-stop:
				ok = false
				continue
			default:
			}
			id := fmt.Sprintf("h%015x", sent.Add(1))
			d.rec.add("send %s to %s", id, g.name)
			_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
			_, err := fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n%s: %s\r\n%s: 12000\r\nAuthorization: Token %s\r\nX-Bergamotrudder-Model: m\r\nX-Bergamotrudder-Token-Counts: 715,47\r\nX-Bergamotrudder-Prompt-Prefix: c%d:172,%s:543\r\n%s\r\n",
				chatPath, host, headerID, id, headerRemaining, apiKey, sent.Load()%9, id, header)
			if err != nil {
				break
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				d.rec.add("answer %s none: %v", id, err)
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			d.rec.add("answer %s %d %v", id, resp.StatusCode, err)
			if resp.StatusCode == http.StatusOK && err == nil {
				served.Add(1)
			} else {
				time.Sleep(200 * time.Millisecond)
			}
			ok = err == nil && !resp.Close
		}
		_ = conn.Close()
	}
}

// manyFields lets callers send headers of many small fields.
func manyFields(d *deployment, trouble bool) (bool, string, error) {
	d.streamTime = streamTime
	d.configure()
	for i := range 18 {
		if err := d.startServer(i, engineService, 64); err != nil {
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
	header := fields(2)
	if trouble {
		header = fields(fieldsPerHeader)
	}
	var sent, served atomic.Int64
	ends, most, began := make([]int, len(d.gateways)), make([]int64, len(d.gateways)), time.Now()
	// The crowd is at one gateway at a time, so that all its streams find a place at the servers.
	for i, g := range d.gateways[:machinesWithEnds] {
		left := make(chan struct{})
		var wg sync.WaitGroup
		for k := range streamsPerGateway {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(k) * 2 * time.Millisecond)
				d.hold(g, header, left, &sent, &served)
			}()
		}
		for from := time.Now(); time.Since(from) < crowdTime && ends[i] < endsPerMachine; {
			time.Sleep(20 * time.Millisecond)
			if err := d.endOversized(ends, most); err != nil {
				return false, "", err
			}
		}
		close(left)
		wg.Wait()
	}
	close(stop)
	seen := fmt.Sprintf("processes ended for memory over %d MB: %v times in %.0f s; %d requests sent, %d served; most memory %v MB", memoryBytes/1_000_000, ends, time.Since(began).Seconds(), sent.Load(), served.Load(), megabytes(most))
	if served.Load() == 0 && !trouble {
		return false, "", fmt.Errorf("nothing was served: %s", seen)
	}
	return enough(ends) >= machinesWithEnds, seen, nil
}
