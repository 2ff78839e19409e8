package block

import (
	"slices"
	"sort"
)

// samplesPerPage is the number of samples that each page has.
const samplesPerPage = maxPage / cellSize

// tier is an immutable set of prefixes of one key width, cut into pages.
type tier[K key] struct {
	// samples holds the first key of each cell; a page with fewer cells than
	// samplesPerPage repeats its last key. A look-up searches them first,
	// because they stay in the processor's cache.
	samples []K
	index   radix[K]
	pages   []page[K]
	count   int
}

// lastAtMost returns the index of the last key that is not above a, or -1.
func lastAtMost[K key](keys []K, a K) int {
	lo, n := 0, len(keys)
	for n > 0 {
		half := n >> 1
		if keys[lo+half] <= a {
			lo += half + 1
			n -= half + 1
		} else {
			n = half
		}
	}
	return lo - 1
}

// position returns the page and the index of the last entry whose key is not
// above a; page is nil when there is none.
func (t *tier[K]) position(a K) (p *page[K], i int) {
	s := t.index.lastAtMost(t.samples, a)
	if s < 0 {
		return nil, 0
	}
	p = &t.pages[s/samplesPerPage]
	n := min(s%samplesPerPage, len(p.cells)-1)
	return p, min(n*cellSize+p.cells[n].lastAtMost(a), p.size-1)
}

// lookup returns the site of the longest prefix that encloses a.
func (t *tier[K]) lookup(a K) (uint16, bool) {
	p, i := t.position(a)
	if p == nil {
		return 0, false
	}
	// The longest enclosing prefix is the last entry not above a, or one that
	// encloses that entry, because prefixes are nested or disjoint.
	for {
		v := p.value(i)
		if covers(p.key(i), lengthOf(v), a) {
			return siteOf(v), true
		}
		d := distanceOf(v)
		if d == 0 {
			break
		}
		i -= d
	}
	for _, e := range p.outer {
		if covers(e.key, e.length, a) {
			return e.site, true
		}
	}
	return 0, false
}

// find returns the site of the prefix with e's key and length.
func (t *tier[K]) find(e entry[K]) (uint16, bool) {
	if len(t.pages) == 0 {
		return 0, false
	}
	p := &t.pages[t.pageOf(e)]
	i := sort.Search(p.size, func(i int) bool { return p.at(i).compare(e) >= 0 })
	if i < p.size && p.at(i).compare(e) == 0 {
		return p.at(i).site, true
	}
	return 0, false
}

// pageOf returns the index of the page that holds or would hold e.
func (t *tier[K]) pageOf(e entry[K]) int {
	after, found := slices.BinarySearchFunc(t.pages, e, func(p page[K], e entry[K]) int { return p.at(0).compare(e) })
	if found {
		return after
	}
	return max(after-1, 0)
}

// change sets or removes one prefix.
type change[K key] struct {
	entry[K]
	remove bool
}

// apply returns the tier after the changes, which are sorted and name each
// prefix once. Pages without a change are shared with t.
func (t *tier[K]) apply(changes []change[K]) *tier[K] {
	if len(changes) == 0 {
		return t
	}
	pages := make([]page[K], 0, len(t.pages)+len(changes)/maxPage+1)
	var pending []entry[K]
	for n := range t.pages {
		p := &t.pages[n]
		mine := changes[:t.until(n+1, changes)]
		changes = changes[len(mine):]
		if len(mine) == 0 && len(pending) == 0 {
			pages = append(pages, *p)
			continue
		}
		pending = p.merge(pending, mine)
		if len(pending) >= minPage || n == len(t.pages)-1 {
			pages = cut(pages, pending)
			pending = pending[:0]
		}
	}
	if len(t.pages) == 0 {
		pages = cut(pages, (&page[K]{}).merge(nil, changes))
	}
	return assemble(pages)
}

// until returns the number of leading changes that belong before page n.
func (t *tier[K]) until(n int, changes []change[K]) int {
	if n >= len(t.pages) {
		return len(changes)
	}
	first := t.pages[n].at(0)
	i, _ := slices.BinarySearchFunc(changes, first, func(c change[K], e entry[K]) int { return c.compare(e) })
	return i
}

// merge appends the entries of p to out, with the changes made.
func (p *page[K]) merge(out []entry[K], changes []change[K]) []entry[K] {
	for i := range p.size {
		e := p.at(i)
		for len(changes) > 0 && changes[0].compare(e) < 0 {
			out = appendSet(out, changes[0])
			changes = changes[1:]
		}
		if len(changes) > 0 && changes[0].compare(e) == 0 {
			out = appendSet(out, changes[0])
			changes = changes[1:]
			continue
		}
		out = append(out, e)
	}
	for _, c := range changes {
		out = appendSet(out, c)
	}
	return out
}

// appendSet appends the entry of c unless c removes it.
func appendSet[K key](out []entry[K], c change[K]) []entry[K] {
	if c.remove {
		return out
	}
	return append(out, c.entry)
}

// cut appends the entries as pages of even size.
func cut[K key](pages []page[K], es []entry[K]) []page[K] {
	n := (len(es) + maxPage - 1) / maxPage
	for i := range n {
		pages = append(pages, newPage(es[i*len(es)/n:(i+1)*len(es)/n]))
	}
	return pages
}

// assemble samples the pages and links each to what encloses it from before.
func assemble[K key](pages []page[K]) *tier[K] {
	t := &tier[K]{samples: make([]K, 0, samplesPerPage*len(pages)), pages: pages}
	for n := range pages {
		p := &pages[n]
		t.count += p.size
		for i := range samplesPerPage {
			t.samples = append(t.samples, p.key(min(i*cellSize, p.size-1)))
		}
		if n > 0 {
			p.link(pages[n-1].enclosing(p.key(0)))
		}
	}
	t.index = newRadix(t.samples)
	return t
}

// link sets the entries of earlier pages that enclose p.
func (p *page[K]) link(outer []entry[K]) {
	if !slices.Equal(outer, p.outer) {
		p.outer = slices.Clip(outer)
	}
}
