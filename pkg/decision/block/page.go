package block

// key is an IPv4 address, or one half of an IPv6 address, by which a prefixSet is
// sorted.
type key interface{ ~uint32 | ~uint64 }

const (
	// maxPageEntries is the maximum number of entries in a page. Distances within
	// a page must fit in distanceBits.
	maxPageEntries = 512
	// minPageEntries is the number of entries below which an updated page is merged
	// with the next one.
	minPageEntries = 64
)

// A value packs the site of an entry, the length of its prefix, and the distance
// back to the nearest enclosing entry in the same page. Distance zero means that
// there is none.
const (
	siteBits     = 16
	lengthBits   = 7
	distanceBits = 9

	lengthShift   = siteBits
	distanceShift = siteBits + lengthBits
)

func packValue(site uint16, length uint8, distance int) uint32 {
	return uint32(site) | uint32(length)<<lengthShift | uint32(distance)<<distanceShift
}

func siteOf(v uint32) uint16  { return uint16(v) }
func lengthOf(v uint32) uint8 { return uint8(v >> lengthShift & (1<<lengthBits - 1)) }
func distanceOf(v uint32) int { return int(v >> distanceShift) }

// entry is one prefix of a prefixSet. The bits of key after length are zero.
type entry[K key] struct {
	key    K
	length uint8
	site   uint16
}

// compare orders entries by key and then by length, so that a prefix sorts before
// the prefixes that it encloses.
func (e entry[K]) compare(o entry[K]) int {
	switch {
	case e.key < o.key:
		return -1
	case e.key > o.key:
		return 1
	}
	return int(e.length) - int(o.length)
}

// prefixContains reports whether the prefix k/length contains a.
func prefixContains[K key](k K, length uint8, a K) bool {
	return (k^a)>>(width[K]()-uint(length)) == 0
}

// width returns the number of bits of K.
func width[K key]() uint {
	if uint64(^K(0))>>32 == 0 {
		return 32
	}
	return 64
}

// chunkSize is the number of entries in a chunk: 16 keys of 32 bits fill one cache
// line, and their values fill the next.
const chunkSize = 16

// chunk stores the keys and values of consecutive entries next to each other in
// memory.
type chunk[K key] struct {
	keys   [chunkSize]K
	values [chunkSize]uint32
}

// lastAtMost returns the index of the last key that is at most a. The first key must
// be at most a. The binary search is unrolled so that each step compiles to a
// conditional addition without a branch.
func (c *chunk[K]) lastAtMost(a K) int {
	i := 0
	if c.keys[8] <= a {
		i = 8
	}
	if c.keys[i+4] <= a {
		i += 4
	}
	if c.keys[i+2] <= a {
		i += 2
	}
	if c.keys[i+1] <= a {
		i++
	}
	return i
}

// page is an immutable sequence of sorted entries.
type page[K key] struct {
	chunks []chunk[K]
	// size is the number of entries.
	size int
	// outer lists the entries of earlier pages that enclose the first key, longest
	// prefix first.
	outer []entry[K]
}

// newPage returns a page of sorted entries, of which there may be at most
// maxPageEntries.
func newPage[K key](es []entry[K]) page[K] {
	p := page[K]{chunks: make([]chunk[K], (len(es)+chunkSize-1)/chunkSize), size: len(es)}
	for i, e := range es {
		c := &p.chunks[i/chunkSize]
		c.keys[i%chunkSize] = e.key
		c.values[i%chunkSize] = packValue(e.site, e.length, p.enclosingDistance(i, e))
	}
	p.pad()
	return p
}

// pad fills the unused keys of the last chunk with the largest key, so that the
// chunk remains sorted.
func (p *page[K]) pad() {
	for i := p.size; i < len(p.chunks)*chunkSize; i++ {
		p.chunks[i/chunkSize].keys[i%chunkSize] = ^K(0)
	}
}

// enclosingDistance returns the distance from entry i, which is e, back to the
// nearest entry that encloses it, or zero when there is none. The entries before i
// must be complete. Since prefixes are nested or disjoint, the enclosing entry is
// i-1 or one that encloses i-1.
func (p *page[K]) enclosingDistance(i int, e entry[K]) int {
	j := i - 1
	for j >= 0 {
		if prefixContains(p.key(j), lengthOf(p.value(j)), e.key) {
			return i - j
		}
		d := distanceOf(p.value(j))
		if d == 0 {
			return 0
		}
		j -= d
	}
	return 0
}

// key returns the key of entry i.
func (p *page[K]) key(i int) K { return p.chunks[i/chunkSize].keys[i%chunkSize] }

// value returns the packed value of entry i.
func (p *page[K]) value(i int) uint32 { return p.chunks[i/chunkSize].values[i%chunkSize] }

// at returns entry i.
func (p *page[K]) at(i int) entry[K] {
	return entry[K]{key: p.key(i), length: lengthOf(p.value(i)), site: siteOf(p.value(i))}
}

// enclosing returns the entries of p and of earlier pages that enclose a, longest
// prefix first. a must be a key after the last entry of p.
func (p *page[K]) enclosing(a K) []entry[K] {
	var out []entry[K]
	for i := p.size - 1; ; {
		if e := p.at(i); prefixContains(e.key, e.length, a) {
			out = append(out, e)
		}
		d := distanceOf(p.value(i))
		if d == 0 {
			break
		}
		i -= d
	}
	for _, e := range p.outer {
		if prefixContains(e.key, e.length, a) {
			out = append(out, e)
		}
	}
	return out
}
