package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 21, 200) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(ticket uint64, member string, cl Class) *Item {
	return &Item{Ticket: ticket, Member: member, Class: cl, ExpiresAt: epoch.Add(time.Duration(ticket) * time.Second)}
}

// line is what the fairness property needs of a queue.
type line interface {
	Push(*Item) *Item
	Pop() *Item
}

// firstInFirstOut is an unfair line.
type firstInFirstOut struct{ items []*Item }

func (f *firstInFirstOut) Push(it *Item) *Item {
	f.items = append(f.items, it)
	return nil
}

func (f *firstInFirstOut) Pop() *Item {
	it := f.items[0]
	f.items = f.items[1:]
	return it
}

// unfairness lets members with unequal bursts wait, serves while all of them
// have waiting items, and returns the largest difference of what they got.
func unfairness(rt *rapid.T, l line) int {
	bursts := rapid.SliceOfN(rapid.IntRange(1, 40), 2, 6).Draw(rt, "bursts")
	left := map[string]int{}
	ticket := uint64(0)
	for i, n := range bursts {
		for range n {
			ticket++
			l.Push(item(ticket, fmt.Sprint(i), Normal))
		}
		left[fmt.Sprint(i)] = n
	}
	got := map[string]int{}
	for {
		it := l.Pop()
		got[it.Member]++
		low, high := got["0"], got["0"]
		for m := range left {
			low, high = min(low, got[m]), max(high, got[m])
		}
		if high-low > 1 {
			return high - low
		}
		if left[it.Member]--; left[it.Member] == 0 {
			return high - low
		}
	}
}

func TestMembersThatWaitGetEqualShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if d := unfairness(rt, New(1000)); d > 1 {
			rt.Fatalf("one member got %d more than another", d)
		}
	})
}

func TestFairnessPropertyCatchesFirstInFirstOut(t *testing.T) {
	worst := 0
	rapid.Check(t, func(rt *rapid.T) { worst = max(worst, unfairness(rt, &firstInFirstOut{})) })
	if worst <= 1 {
		t.Fatal("the property did not catch an unfair queue")
	}
}

func TestNoClassIsStarved(t *testing.T) {
	q := New(10000)
	got := map[Class]int{}
	for i := range uint64(1000) {
		for cl := High; cl < classes; cl++ {
			q.Push(item(3*i+uint64(cl)+1, "m", cl))
		}
		got[q.Pop().Class]++
	}
	if got[Low] != 100 || got[Normal] != 200 || got[High] != 700 {
		t.Fatalf("served by class = %v, want 700, 200 and 100", got)
	}
}

func TestFullQueueMakesRoomFromTheLongestFlow(t *testing.T) {
	q := New(10)
	for i := range uint64(9) {
		q.Push(item(i+1, "burst", Normal))
	}
	q.Push(item(10, "other", Normal))
	if out := q.Push(item(11, "third", Normal)); out == nil || out.Ticket != 9 {
		t.Fatalf("evicted = %+v, want the newest of the burst", out)
	}
	if q.Len() != 10 {
		t.Fatalf("length = %d", q.Len())
	}
}

func TestQueueNeverLosesOrRepeatsAnItem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(8)
		in := map[uint64]bool{}
		ticket := uint64(0)
		out := func(it *Item) {
			if it != nil && !in[it.Ticket] {
				rt.Fatalf("ticket %d came out twice", it.Ticket)
			}
			if it != nil {
				delete(in, it.Ticket)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				ticket++
				in[ticket] = true
				out(q.Push(item(ticket, rapid.StringMatching("[a-c]").Draw(rt, "member"), Class(rapid.IntRange(0, 2).Draw(rt, "class")))))
			},
			"pop": func(*rapid.T) {
				head := q.Peek()
				it := q.Pop()
				if it != head {
					rt.Fatal("Peek and Pop differ")
				}
				out(it)
			},
			"remove": func(rt *rapid.T) { out(q.Remove(rapid.Uint64Range(1, 20).Draw(rt, "ticket"))) },
			"expire": func(rt *rapid.T) {
				out(q.PopExpired(epoch.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "now")) * time.Second)))
			},
			"": func(*rapid.T) {
				if q.Len() != len(in) || q.Len() > 8 || len(q.expiry) != len(in) {
					rt.Fatalf("length = %d, want %d", q.Len(), len(in))
				}
			},
		})
	})
}
