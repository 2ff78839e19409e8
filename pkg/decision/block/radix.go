package block

import "math/bits"

// samplesPerBucket is the mean number of samples that a bucket stands for.
const samplesPerBucket = 2

// radix narrows the search of sorted keys to a few by the key's leading bits
// above the first key.
type radix[K key] struct {
	first K
	shift uint
	// starts holds, for each bucket, the number of keys in earlier buckets,
	// and the number of all keys at the end.
	starts []uint32
}

// newRadix indexes sorted keys.
func newRadix[K key](keys []K) radix[K] {
	if len(keys) == 0 {
		return radix[K]{}
	}
	first, last := keys[0], keys[len(keys)-1]
	want := bits.Len(uint(len(keys) / samplesPerBucket))
	have := bits.Len64(uint64(last - first))
	r := radix[K]{first: first, shift: uint(max(0, have-want))}
	r.starts = make([]uint32, uint64(last-first)>>r.shift+2)
	for _, k := range keys {
		r.starts[uint64(k-first)>>r.shift+1]++
	}
	for i := 1; i < len(r.starts); i++ {
		r.starts[i] += r.starts[i-1]
	}
	return r
}

// lastAtMost returns the index of the last of the indexed keys that is not
// above a, or -1.
func (r *radix[K]) lastAtMost(keys []K, a K) int {
	if len(keys) == 0 || a < r.first {
		return -1
	}
	b := uint64(a-r.first) >> r.shift
	if b >= uint64(len(r.starts)-1) {
		return len(keys) - 1
	}
	lo, hi := r.starts[b], r.starts[b+1]
	return int(lo) + lastAtMost(keys[lo:hi], a)
}
