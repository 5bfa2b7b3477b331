package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryBytes is the memory of a machine: a process that exceeds it is killed.
	memoryBytes = 284_000_000
	// crowdPerGateway is the number of kept channels at each gateway, and channelPeriod the time
	// between two requests on one: 424 requests a second at four gateways, which is 2.6 times the
	// usual traffic of lpm-wipe.
	crowdPerGateway = 25
	channelPeriod   = 236 * time.Millisecond
	// partsPerPrompt parts keep the header of a request below 16,384 bytes.
	partsPerPrompt = 1700
	// endsPerMachine and machinesWithEnds are the bounds of the rule.
	endsPerMachine   = 3
	machinesWithEnds = 2
)

var nextPart atomic.Uint64

// prompt returns a prompt of so many parts of one token each, which no other prompt has.
func prompt(parts int) string {
	var b strings.Builder
	for i := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%06x:1", nextPart.Add(1)&0xffffff)
	}
	return b.String()
}

// rss returns the resident memory of the process.
func rss(pid int) int64 {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(b, []byte("\n")) {
		if text, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			n, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// crowd sends requests with long prompts on one kept channel to the gateway until stop.
func (d *deployment) crowd(g *gateway, parts func() int, stop chan struct{}, sent *atomic.Int64, served *atomic.Int64) {
	ticker := time.NewTicker(channelPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", g.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
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
			<-ticker.C
			n := parts()
			id := fmt.Sprintf("c%015x", sent.Add(1))
			d.rec.add("send %s to %s: %d parts", id, g.name, n)
			_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
			_, err := fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n%s: %s\r\n%s: 6000\r\nAuthorization: Token %s\r\nX-Bergamotrudder-Model: m\r\nX-Bergamotrudder-Token-Counts: %d,5\r\nX-Bergamotrudder-Prompt-Prefix: %s\r\n\r\n",
				chatPath, host, headerID, id, headerRemaining, apiKey, n, prompt(n))
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
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
			} else {
				time.Sleep(50 * time.Millisecond)
			}
			ok = err == nil && !resp.Close
		}
		_ = conn.Close()
	}
}

// longPrompts lets callers list prompts in many small parts, and ends processes that exceed the memory
// of their machine, as the platform does.
func longPrompts(d *deployment, trouble bool) (bool, string, error) {
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
	parts := func() int { return 8 }
	if trouble {
		parts = func() int { return partsPerPrompt }
	}
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	for _, g := range d.gateways {
		for range crowdPerGateway {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.crowd(g, parts, stop, &sent, &served)
			}()
		}
	}
	ends := make([]int, len(d.gateways))
	most := make([]int64, len(d.gateways))
	began := time.Now()
	for time.Since(began) < 95*time.Second && enough(ends) < machinesWithEnds {
		time.Sleep(50 * time.Millisecond)
		if err := d.endOversized(ends, most); err != nil {
			close(stop)
			return false, "", err
		}
	}
	close(stop)
	wg.Wait()
	seen := fmt.Sprintf("processes ended for memory over %d MB: %v times in %.0f s; %d requests sent, %d served; most memory %v MB", memoryBytes/1_000_000, ends, time.Since(began).Seconds(), sent.Load(), served.Load(), megabytes(most))
	if served.Load() == 0 {
		return false, "", fmt.Errorf("nothing was served: %s", seen)
	}
	return enough(ends) >= machinesWithEnds, seen, nil
}

// endOversized kills and restarts the processes that exceed the memory of their machine, counts
// their ends, and keeps the most memory that each had.
func (d *deployment) endOversized(ends []int, most []int64) error {
	for i, g := range d.gateways {
		n := rss(g.cmd.Process.Pid)
		most[i] = max(most[i], n)
		if n <= memoryBytes {
			continue
		}
		ends[i]++
		d.rec.add("%s has %d MB, over its limit: killed by the platform", g.name, n/1_000_000)
		_ = g.cmd.Process.Signal(syscall.SIGKILL)
		<-g.done
		time.Sleep(200 * time.Millisecond)
		if err := d.startGateway(g); err != nil {
			return err
		}
	}
	return nil
}

// enough returns how many machines have had three ends.
func enough(ends []int) int {
	n := 0
	for _, e := range ends {
		if e >= endsPerMachine {
			n++
		}
	}
	return n
}

func megabytes(list []int64) []int64 {
	out := make([]int64, len(list))
	for i, n := range list {
		out[i] = n / 1_000_000
	}
	return out
}
