package block

import (
	"slices"
	"sort"
)

// samplesPerPage is the number of samples per page.
const samplesPerPage = maxPageEntries / chunkSize

// prefixSet is an immutable, sorted set of prefixes of one key width, divided into
// pages.
type prefixSet[K key] struct {
	// samples holds the first key of each chunk. A page with fewer chunks than
	// samplesPerPage repeats its last key. A lookup searches the samples first,
	// because they stay in the processor's cache.
	samples []K
	index   bucketIndex[K]
	pages   []page[K]
	count   int
}

// lastAtMost returns the index of the last of the sorted keys that is at most a, or
// -1.
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

// predecessor returns the last entry whose key is at most a, as its page and its
// index there. The page is nil when there is none.
func (t *prefixSet[K]) predecessor(a K) (p *page[K], i int) {
	s := t.index.lastAtMost(t.samples, a)
	if s < 0 {
		return nil, 0
	}
	p = &t.pages[s/samplesPerPage]
	n := min(s%samplesPerPage, len(p.chunks)-1)
	return p, min(n*chunkSize+p.chunks[n].lastAtMost(a), p.size-1)
}

// lookup returns the site of the longest prefix that contains a.
func (t *prefixSet[K]) lookup(a K) (uint16, bool) {
	p, i := t.predecessor(a)
	if p == nil {
		return 0, false
	}
	// Because prefixes are nested or disjoint, the longest prefix that contains a
	// is the predecessor of a or one that encloses the predecessor.
	for {
		v := p.value(i)
		if prefixContains(p.key(i), lengthOf(v), a) {
			return siteOf(v), true
		}
		d := distanceOf(v)
		if d == 0 {
			break
		}
		i -= d
	}
	for _, e := range p.outer {
		if prefixContains(e.key, e.length, a) {
			return e.site, true
		}
	}
	return 0, false
}

// findExact returns the site of the prefix with the key and length of e.
func (t *prefixSet[K]) findExact(e entry[K]) (uint16, bool) {
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

// pageOf returns the index of the page that contains e or would contain it.
func (t *prefixSet[K]) pageOf(e entry[K]) int {
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

// apply returns the set with the changes applied. They must be sorted and contain
// each prefix at most once. Unchanged pages are shared with t.
func (t *prefixSet[K]) apply(changes []change[K]) *prefixSet[K] {
	if len(changes) == 0 {
		return t
	}
	pages := make([]page[K], 0, len(t.pages)+len(changes)/maxPageEntries+1)
	var pending []entry[K]
	for n := range t.pages {
		p := &t.pages[n]
		pageChanges := changes[:t.changesBefore(n+1, changes)]
		changes = changes[len(pageChanges):]
		if len(pageChanges) == 0 && len(pending) == 0 {
			pages = append(pages, *p)
			continue
		}
		pending = p.merge(pending, pageChanges)
		if len(pending) >= minPageEntries || n == len(t.pages)-1 {
			pages = appendPages(pages, pending)
			pending = pending[:0]
		}
	}
	if len(t.pages) == 0 {
		pages = appendPages(pages, (&page[K]{}).merge(nil, changes))
	}
	return newPrefixSet(pages)
}

// changesBefore returns the number of leading changes that belong to pages before
// page n.
func (t *prefixSet[K]) changesBefore(n int, changes []change[K]) int {
	if n >= len(t.pages) {
		return len(changes)
	}
	first := t.pages[n].at(0)
	i, _ := slices.BinarySearchFunc(changes, first, func(c change[K], e entry[K]) int { return c.compare(e) })
	return i
}

// merge appends the entries of p, with the changes applied, to out.
func (p *page[K]) merge(out []entry[K], changes []change[K]) []entry[K] {
	for i := range p.size {
		e := p.at(i)
		for len(changes) > 0 && changes[0].compare(e) < 0 {
			out = appendUnlessRemoved(out, changes[0])
			changes = changes[1:]
		}
		if len(changes) > 0 && changes[0].compare(e) == 0 {
			out = appendUnlessRemoved(out, changes[0])
			changes = changes[1:]
			continue
		}
		out = append(out, e)
	}
	for _, c := range changes {
		out = appendUnlessRemoved(out, c)
	}
	return out
}

// appendUnlessRemoved appends the entry of c unless c removes it.
func appendUnlessRemoved[K key](out []entry[K], c change[K]) []entry[K] {
	if c.remove {
		return out
	}
	return append(out, c.entry)
}

// appendPages appends the entries, divided into pages of equal size.
func appendPages[K key](pages []page[K], es []entry[K]) []page[K] {
	n := (len(es) + maxPageEntries - 1) / maxPageEntries
	for i := range n {
		pages = append(pages, newPage(es[i*len(es)/n:(i+1)*len(es)/n]))
	}
	return pages
}

// newPrefixSet returns the set of the pages. It takes the samples and sets the outer
// entries of each page.
func newPrefixSet[K key](pages []page[K]) *prefixSet[K] {
	t := &prefixSet[K]{samples: make([]K, 0, samplesPerPage*len(pages)), pages: pages}
	for n := range pages {
		p := &pages[n]
		t.count += p.size
		for i := range samplesPerPage {
			t.samples = append(t.samples, p.key(min(i*chunkSize, p.size-1)))
		}
		if n > 0 {
			p.setOuter(pages[n-1].enclosing(p.key(0)))
		}
	}
	t.index = newBucketIndex(t.samples)
	return t
}

// setOuter sets p.outer.
func (p *page[K]) setOuter(outer []entry[K]) {
	if !slices.Equal(outer, p.outer) {
		p.outer = slices.Clip(outer)
	}
}
