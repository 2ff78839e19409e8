package block

// key is the part of an address that a tier sorts by.
type key interface{ ~uint32 | ~uint64 }

const (
	// maxPage is the largest number of entries of a page. It fits the
	// distance bits of a value.
	maxPage = 512
	// minPage is the number of entries below which an updated page is joined
	// with the next.
	minPage = 64
)

// A value packs an entry's site, the length of its prefix, and the distance
// to the nearest enclosing entry of the same page; distance zero means none.
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

// entry is one prefix of a tier.
type entry[K key] struct {
	key    K
	length uint8
	site   uint16
}

// compare orders entries by key and then by length, so that an enclosing
// prefix comes before what it encloses.
func (e entry[K]) compare(o entry[K]) int {
	switch {
	case e.key < o.key:
		return -1
	case e.key > o.key:
		return 1
	}
	return int(e.length) - int(o.length)
}

// covers reports whether the prefix of the given length at k encloses a.
func covers[K key](k K, length uint8, a K) bool {
	return (k^a)>>(width[K]()-uint(length)) == 0
}

// width returns the number of bits of K.
func width[K key]() uint {
	if uint64(^K(0))>>32 == 0 {
		return 32
	}
	return 64
}

// cellSize is the number of entries of a cell: 16 keys of 32 bits fill a
// cache line, and their values the next.
const cellSize = 16

// cell holds entries whose keys and values are close together in memory.
type cell[K key] struct {
	keys   [cellSize]K
	values [cellSize]uint32
}

// lastAtMost returns the index of the last key that is not above a; the first
// is known not to be. Each step is an addition without a branch.
func (c *cell[K]) lastAtMost(a K) int {
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

// page is an immutable run of entries in sorted order.
type page[K key] struct {
	cells []cell[K]
	// size is the number of entries.
	size int
	// outer are the entries of earlier pages that enclose the first key, the
	// longest first.
	outer []entry[K]
}

// newPage builds a page of at most maxPage sorted entries.
func newPage[K key](es []entry[K]) page[K] {
	p := page[K]{cells: make([]cell[K], (len(es)+cellSize-1)/cellSize), size: len(es)}
	for i, e := range es {
		c := &p.cells[i/cellSize]
		c.keys[i%cellSize] = e.key
		c.values[i%cellSize] = packValue(e.site, e.length, p.distance(i, e))
	}
	p.pad()
	return p
}

// pad fills the unused keys of the last cell with the largest key.
func (p *page[K]) pad() {
	for i := p.size; i < len(p.cells)*cellSize; i++ {
		p.cells[i/cellSize].keys[i%cellSize] = ^K(0)
	}
}

// distance returns how far before i the nearest entry lies that encloses e.
// The entries before i are complete; an enclosing one is i-1 or encloses it.
func (p *page[K]) distance(i int, e entry[K]) int {
	j := i - 1
	for j >= 0 {
		if covers(p.key(j), lengthOf(p.value(j)), e.key) {
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
func (p *page[K]) key(i int) K { return p.cells[i/cellSize].keys[i%cellSize] }

// value returns the value of entry i.
func (p *page[K]) value(i int) uint32 { return p.cells[i/cellSize].values[i%cellSize] }

// at returns entry i.
func (p *page[K]) at(i int) entry[K] {
	return entry[K]{key: p.key(i), length: lengthOf(p.value(i)), site: siteOf(p.value(i))}
}

// enclosing returns the entries of p and before it that enclose a, a key
// after p's last entry, the longest first.
func (p *page[K]) enclosing(a K) []entry[K] {
	var out []entry[K]
	for i := p.size - 1; ; {
		if e := p.at(i); covers(e.key, e.length, a) {
			out = append(out, e)
		}
		d := distanceOf(p.value(i))
		if d == 0 {
			break
		}
		i -= d
	}
	for _, e := range p.outer {
		if covers(e.key, e.length, a) {
			out = append(out, e)
		}
	}
	return out
}
