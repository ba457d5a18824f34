package document

import (
	"encoding/binary"
	"math/bits"
)

// hashSum is an integer modulo 2^256, lowest word first. The sum of the hashes of a set of parts is a digest of the set that doesn't depend
// on their order and can be updated part by part (AdHash, Bellare and Micciancio, 1997).
type hashSum [4]uint64

// newHashSum returns the sum of a single hash.
func newHashSum(hash [32]byte) hashSum {
	made := hashSum{}
	for word := range made {
		made[word] = binary.LittleEndian.Uint64(hash[word*8:])
	}
	return made
}

func (sum *hashSum) add(other hashSum) {
	carry := uint64(0)
	for word := range sum {
		sum[word], carry = bits.Add64(sum[word], other[word], carry)
	}
}

func (sum *hashSum) subtract(other hashSum) {
	borrow := uint64(0)
	for word := range sum {
		sum[word], borrow = bits.Sub64(sum[word], other[word], borrow)
	}
}

func (sum hashSum) bytes() []byte {
	content := make([]byte, 0, 32)
	for _, word := range sum {
		content = binary.BigEndian.AppendUint64(content, word)
	}
	return content
}
