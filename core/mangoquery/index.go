package mangoquery

import (
	"iter"
	"maps"
)

// buckets is the number of parts of an Index. A change copies one part and the
// array of parts.
const buckets = 64

// Key is a key of an Index.
type Key interface {
	comparable
	// Hash returns a hash of the key. Its low bits must be evenly distributed.
	Hash() uint64
}

// Index is a persistent (immutable) hash map. A change returns a new Index that
// shares all but one part with the old one, so that publishing a change copies
// one part instead of all entries. The zero Index is empty.
type Index[K Key, V any] struct {
	parts *[buckets]map[K]V
	n     int
}

// Get returns the value of a key.
func (x Index[K, V]) Get(k K) (V, bool) {
	if x.parts == nil {
		var zero V
		return zero, false
	}
	v, ok := x.parts[bucketOf(k)][k]
	return v, ok
}

// Len returns the number of entries.
func (x Index[K, V]) Len() int { return x.n }

// All yields the entries in unspecified order.
func (x Index[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if x.parts == nil {
			return
		}
		for _, part := range x.parts {
			for k, v := range part {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// With returns an index with the entry of k added or replaced.
func (x Index[K, V]) With(k K, v V) Index[K, V] {
	_, found := x.Get(k)
	next, i := x.copyPart(k)
	if next.parts[i] == nil {
		next.parts[i] = make(map[K]V, 1)
	}
	next.parts[i][k] = v
	if !found {
		next.n++
	}
	return next
}

// Without returns an index without the entry of k.
func (x Index[K, V]) Without(k K) Index[K, V] {
	if _, ok := x.Get(k); !ok {
		return x
	}
	next, i := x.copyPart(k)
	delete(next.parts[i], k)
	next.n--
	return next
}

// copyPart returns a copy of the index whose part for k may be changed, and the
// number of that part.
func (x Index[K, V]) copyPart(k K) (Index[K, V], int) {
	parts := &[buckets]map[K]V{}
	if x.parts != nil {
		*parts = *x.parts
	}
	i := bucketOf(k)
	parts[i] = maps.Clone(parts[i])
	return Index[K, V]{parts: parts, n: x.n}, i
}

func bucketOf[K Key](k K) int { return int(k.Hash() % buckets) }
