package entryvm

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// evictionPlay plays steps on a table of connections.
type evictionPlay struct {
	t     *testing.T
	table *connTable
	rows  map[string]*connRow
	ended []string // limits reported since the last step
}

// TestEvictions guards against a limit that closes the connection of a request in flight,
// or that of a known caller before one that holds nothing. It plays
// testdata/evictions.steps and compares what is open with the golden file.
func TestEvictions(t *testing.T) {
	source, err := os.Open("testdata/evictions.steps")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = source.Close() }()
	p := &evictionPlay{t: t, rows: make(map[string]*connRow)}
	p.table = newConnTable(func(lentilmux.Decision) {}, func(connEnd) {}).withLimits(ConnLimits{Conns: 4, HeadBytes: 1000}, func(limit string) { p.ended = append(p.ended, limit) })
	var out strings.Builder
	for scanner := bufio.NewScanner(source); scanner.Scan(); {
		line := scanner.Text()
		if strings.HasPrefix(line, "#") {
			fmt.Fprintln(&out, line)
			continue
		}
		p.ended = nil
		result := p.play(strings.Fields(line))
		fmt.Fprintf(&out, "%s: %s; open %v, heads %d, limits %v\n", line, result, p.open(), p.table.headBytes, p.ended)
	}
	goldie.New(t).Assert(t, "evictions", []byte(out.String()))
}

// play plays a step and returns its result.
func (p *evictionPlay) play(step []string) (result string) {
	name, row := step[1], p.rows[step[1]]
	use := ConnUseOf(context.WithValue(p.t.Context(), connRowKey{}, row))
	switch step[0] {
	case "accept":
		if !p.table.makeRoom() {
			return "refused"
		}
		conn, _ := net.Pipe()
		p.rows[name] = p.table.add(conn)
		p.rows[name].since = time.Unix(int64(len(p.rows)), 0)
	case "read":
		var bytes int
		_, _ = fmt.Sscan(step[2], &bytes) // the file has only numbers here
		row.recordRead([]byte(strings.Repeat("x", bytes)), nil)
	case "receive":
		text, _ := strconv.Unquote(step[2]) // the file has only quoted texts here
		row.recordRead([]byte(text), nil)
	case "handle":
		admitted, _ := p.table.markHandled(row)
		return fmt.Sprintf("admitted %t", admitted)
	case "body":
		use.setReadsBody(true)
	case "body_end":
		return fmt.Sprintf("given up %t", use.setReadsBody(false))
	case "age_only":
		p.table.ageOnly = true
	case "prove":
		use.Prove()
	case "idle":
		p.table.setState(row, http.StateIdle)
		row.since = time.Unix(int64(len(p.rows)), 0)
	case "close":
		p.table.remove(row)
	default:
		p.t.Fatalf("unknown step %v", step)
	}
	return "done"
}

// open returns the names of the connections that are open.
func (p *evictionPlay) open() (names []string) {
	for name, row := range p.rows {
		if _, ok := p.table.rows[row]; ok && !row.evicted {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TestDefaultVMLimits guards against limits that are not within the memory and descriptors
// of a VM, or so low that its own probe, peers or callers do not fit.
func TestDefaultVMLimits(t *testing.T) {
	var out strings.Builder
	for _, vm := range []struct {
		memoryMiB   int64
		descriptors int
	}{{136, 2870}, {184, 4100}, {536, 8192}, {0, 0}, {16, 100}} {
		fmt.Fprintf(&out, "%d MiB, %d descriptors: %+v\n", vm.memoryMiB, vm.descriptors, VMLimits{Callers: ConnLimits{Conns: 7}}.orElse(DefaultVMLimits(vm.memoryMiB<<20, vm.descriptors)))
		fmt.Fprintf(&out, "  callers by default: %+v\n", DefaultVMLimits(vm.memoryMiB<<20, vm.descriptors).Callers)
	}
	goldie.New(t).Assert(t, "vmlimits", []byte(out.String()))
}
