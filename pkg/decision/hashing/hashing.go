// Package hashing provides the hashes by which instances make equal choices without
// coordination, and the mixing function of pseudo-random sequences.
package hashing

import "github.com/cespare/xxhash/v2"

// Increment is the increment of a SplitMix64 sequence.
const Increment = 0x9e3779b97f4a7c15

// Name returns the hash of a name.
func Name(name string) uint64 { return xxhash.Sum64String(name) }

// Mix combines two hashes.
func Mix(a, b uint64) uint64 { return Finalize(a ^ (b + Increment)) }

// Finalize is the finalizer of SplitMix64.
func Finalize(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Uniform maps two hashes to a number between 0 and 1, which is neither of them.
func Uniform(a, b uint64) float64 {
	const mantissa = 53
	return (float64(Mix(a, b)>>(64-mantissa)) + 0.5) / (1 << mantissa)
}
