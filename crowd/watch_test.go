package crowd_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	watchInterval = 50 * time.Millisecond
	bytesPerKB    = 1 << 10
)

// watch follows the memory and the descriptors of a process from outside.
type watch struct {
	pid    int
	ports  map[string]bool // in hexadecimal, as in /proc/net/tcp
	exited <-chan struct{}

	mu           sync.Mutex
	peak, unread int64 // bytes
	open         int
}

func newWatch(pid int, addresses map[listener]string, exited <-chan struct{}) *watch {
	w := &watch{pid: pid, ports: map[string]bool{}, exited: exited}
	for _, address := range addresses {
		port, _ := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
		w.ports[fmt.Sprintf("%04X", port)] = true
	}
	return w
}

func (w *watch) run() error {
	for {
		select {
		case <-w.exited:
			return nil
		case <-time.After(watchInterval):
			w.look()
		}
	}
}

// look notes the largest size of the process so far, its present size together with what
// has arrived at its listeners' connections and has not been read, and its descriptors.
func (w *watch) look() {
	folder := fmt.Sprintf("/proc/%d/", w.pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return // the process has ended
	}
	entries, _ := os.ReadDir(folder + "fd")
	table, _ := os.ReadFile("/proc/net/tcp")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak = max(w.peak, statusField(string(status), "VmHWM:"))
	w.unread = max(w.unread, statusField(string(status), "VmRSS:")+w.unreadBytes(string(table)))
	w.open = max(w.open, len(entries))
}

// statusField returns a field of /proc/<pid>/status in bytes.
func statusField(status, name string) int64 {
	_, rest, _ := strings.Cut(status, name)
	words := strings.Fields(rest)
	if len(words) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(words[0], 10, 64)
	return n * bytesPerKB
}

// unreadBytes adds up the receive queues of the connections to the listeners' ports.
func (w *watch) unreadBytes(table string) int64 {
	const established = "01"
	var sum int64
	for line := range strings.Lines(table) {
		words := strings.Fields(line)
		if len(words) < 5 || words[3] != established {
			continue
		}
		if _, port, _ := strings.Cut(words[1], ":"); !w.ports[port] {
			continue
		}
		_, queue, _ := strings.Cut(words[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// peaks returns the most memory that the process has had, the most together with unread
// bytes, and the most descriptors.
func (w *watch) peaks() (peak, unread int64, open int) {
	w.look()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak, w.unread, w.open
}
