package memory_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/memory"
)

// TestShares guards against a holder without bound that leaves no room for others. It
// plays testdata/shares.steps, whose lines are an account, its holder and the KiB that
// it is to hold, and compares the results with the golden file.
func TestShares(t *testing.T) {
	source, err := os.Open("testdata/shares.steps")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = source.Close() }()
	budget := memory.NewBudget(8 << 20)
	accounts := make(map[string]lentilmux.MemoryAccount)
	var out strings.Builder
	for scanner := bufio.NewScanner(source); scanner.Scan(); {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var name, class, holder string
		var kib int64
		if _, err := fmt.Sscan(line, &name, &class, &holder, &kib); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		if accounts[name] == nil {
			key := lentilmux.MemoryHolder{Class: lentilmux.MemoryAnswers, Name: holder}
			if class == lentilmux.MemoryBodies.String() {
				key.Class = lentilmux.MemoryBodies
			}
			accounts[name] = budget.Open(key)
		}
		err := accounts[name].Hold(kib << 10)
		usage := budget.Usage()
		fmt.Fprintf(&out, "%s: %v; held %v KiB, refused %v, most %q %q\n", line, err, []int64{usage.Held[0] >> 10, usage.Held[1] >> 10}, usage.Refused, usage.Largest[0].Holder.Name, usage.Largest[1].Holder.Name)
	}
	goldie.New(t).Assert(t, "shares", []byte(out.String()))
}

// TestBudgetIsKept guards against accounts that together hold more than the capacity,
// or anything after their end, whatever they ask for at once.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 1<<20).Draw(t, "capacity")
		steps := rapid.SliceOfN(rapid.SliceOfN(rapid.Int64Range(0, 300<<10), 1, 20), 1, 8).Draw(t, "steps")
		budget := memory.NewBudget(capacity)
		var users sync.WaitGroup
		for i, sizes := range steps {
			account := budget.Open(lentilmux.MemoryHolder{Class: lentilmux.MemoryClass(i % 2), Name: fmt.Sprint(i / 4)})
			users.Go(func() {
				for _, size := range sizes {
					_ = account.Hold(size)
					usage := budget.Usage()
					if held := usage.Held[0] + usage.Held[1]; held > capacity || usage.Held[1] > capacity/2 {
						t.Errorf("%v are held of %d", usage.Held, capacity)
					}
				}
				if err := account.Hold(0); err != nil {
					t.Error(err)
				}
			})
		}
		users.Wait()
		if usage := budget.Usage(); usage.Held != [2]int64{} || usage.Largest != [2]lentilmux.MemoryShare{} {
			t.Errorf("held after the end: %v", usage)
		}
	})
}

// TestConnectionsTakeRoom guards against many connections and many bytes in flight that
// together take more than a VM has.
func TestConnectionsTakeRoom(t *testing.T) {
	budget := memory.NewBudget(1000)
	for _, c := range []struct{ occupy, want int64 }{{900, 1000}, {300, 800}, {800, 500}, {-1500, 1000}} {
		budget.Occupy(c.occupy)
		account := budget.Open(lentilmux.MemoryHolder{})
		fits, tooMuch := account.Hold(c.want), budget.Open(lentilmux.MemoryHolder{}).Hold(1)
		if got := budget.Usage().Capacity; got != c.want || fits != nil || tooMuch == nil {
			t.Errorf("capacity %d after %d, want %d; errors %v, %v", got, c.occupy, c.want, fits, tooMuch)
		}
		_ = account.Hold(0)
	}
}

// TestReadAll guards against bodies that are cut, or taken for whole when they are too
// long, and against memory that is held for bytes that were only announced.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 200<<10).Draw(t, "length")
		announced := rapid.SampledFrom([]int64{-1, int64(length), 0, 1 << 40}).Draw(t, "announced")
		limit := rapid.Int64Range(0, 200<<10).Draw(t, "limit")
		budget := memory.NewBudget(rapid.Int64Range(0, 2<<20).Draw(t, "capacity"))
		account := budget.Open(lentilmux.MemoryHolder{})
		text := strings.Repeat("x", length)
		data, err := memory.ReadAll(iotest.HalfReader(strings.NewReader(text)), announced, limit, account)
		held := budget.Usage().Held[0]
		switch {
		case errors.Is(err, lentilmux.ErrNoMemory):
		case int64(length) > limit:
			if !errors.Is(err, memory.ErrTooLong) {
				t.Errorf("error %v for %d of %d bytes, want too long", err, length, limit)
			}
		case err != nil || string(data) != text:
			t.Errorf("%d bytes and error %v, want %d", len(data), err, length)
		}
		if held < int64(len(data)) || held > max(4*int64(length), 32<<10) {
			t.Errorf("%d bytes are held for %d", held, length)
		}
	})
}
