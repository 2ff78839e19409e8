package block

import "math/bits"

// samplesPerBucket is the target mean number of samples per bucket.
const samplesPerBucket = 2

// bucketIndex divides sorted keys into buckets by the leading bits of their offset
// from the first key, so that a search is limited to the few keys of one bucket.
type bucketIndex[K key] struct {
	first K
	shift uint
	// starts holds the number of keys before each bucket and, as its last element,
	// the number of all keys.
	starts []uint32
}

// newBucketIndex returns an index of sorted keys.
func newBucketIndex[K key](keys []K) bucketIndex[K] {
	if len(keys) == 0 {
		return bucketIndex[K]{}
	}
	first, last := keys[0], keys[len(keys)-1]
	want := bits.Len(uint(len(keys) / samplesPerBucket))
	have := bits.Len64(uint64(last - first))
	x := bucketIndex[K]{first: first, shift: uint(max(0, have-want))}
	x.starts = make([]uint32, uint64(last-first)>>x.shift+2)
	for _, k := range keys {
		x.starts[uint64(k-first)>>x.shift+1]++
	}
	for i := 1; i < len(x.starts); i++ {
		x.starts[i] += x.starts[i-1]
	}
	return x
}

// lastAtMost returns the index of the last key that is at most a, or -1. keys must
// be the indexed keys.
func (x *bucketIndex[K]) lastAtMost(keys []K, a K) int {
	if len(keys) == 0 || a < x.first {
		return -1
	}
	b := uint64(a-x.first) >> x.shift
	if b >= uint64(len(x.starts)-1) {
		return len(keys) - 1
	}
	lo, hi := x.starts[b], x.starts[b+1]
	return int(lo) + lastAtMost(keys[lo:hi], a)
}
