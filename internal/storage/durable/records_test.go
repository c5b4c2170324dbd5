package durable

import (
	"encoding/binary"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRecordBytes checks the encoded bytes of each record that the store writes. They
// may change only with a new format version.
func TestRecordBytes(t *testing.T) {
	const store, number = 0x0123456789abcdef, 7
	salt := fileSalt(store, 'l', number)
	encodeWithChecksum := func(o op) []byte {
		payload := appendOp(nil, o)
		setOpChecksums(payload, salt, 300)
		return payload
	}
	payload := append(encodeWithChecksum(op{kind: opPut, key: []byte("key"), value: []byte("value"), expiry: 1_700_000_000}),
		encodeWithChecksum(op{kind: opDelete, key: []byte("other")})...)
	header := make([]byte, batchHeaderLen)
	batch := batchHeader{seq: 300, syncedSeq: 299, opCount: 2, previousChecksum: 0xdeadbeef}
	batch.encode(header, payload, salt)
	encodeEntry := func(e indexEntry, key, value string) []byte {
		e.data, e.keyLen, e.version = key+value, uint16(len(key)), 290
		return appendEntry(nil, &e, "keep", 300)
	}
	for _, c := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"batch header", header,
			"a3f4b0781b0000002c010000000000002b0100000000000002000000efbeadde0e83c24d84418ae9"},
		{"put", encodeWithChecksum(op{kind: opPut, key: []byte("key"), value: []byte("value")}),
			"010305006b657976616c7565e24fa488"},
		{"put with expiry", encodeWithChecksum(op{kind: opPut, key: []byte("key"), value: []byte("value"), expiry: 1_700_000_000}),
			"01030580c49fd50c6b657976616c756548fbebc9"},
		{"delete", encodeWithChecksum(op{kind: opDelete, key: []byte("key")}),
			"02036b6579"},
		{"delete range", encodeWithChecksum(op{kind: opDeleteRange, key: []byte("a"), value: []byte("b")}),
			"0301016162"},
		{"delete range without end", encodeWithChecksum(op{kind: opDeleteRange, key: []byte("a")}),
			"03010061"},
		{"move", encodeWithChecksum(op{kind: opMove, key: []byte("key"), value: []byte("value"), expiry: 50, version: 290}),
			"04a2020305646b657976616c7565423e6e5e"},
		{"expire", encodeWithChecksum(op{kind: opExpire, key: []byte("key"), version: 290}),
			"05a202036b6579"},
		{"segment header", (&segmentHeader{storeID: store, number: number, previousSize: 4096, previousSeq: 299, previousChecksum: 0xcafe}).encode(),
			"6f7862774c4f470a01000000efcdab89674523010700000000100000000000002b01000000000000feca000000000000" +
				"000000000000000000000000d9d20b15"},
		{"checkpoint header", (&checkpointHeader{store, number, position{segment: 5, offset: 1234, seq: 299, chainChecksum: 0xcafe}}).encode(),
			"6f786277434b500a01000000efcdab8967452301070000002b0100000000000005000000d204000000000000feca0000" +
				"0000000000000000000000005806b906"},
		{"checkpoint entry, inline", encodeEntry(indexEntry{place: valueInline}, "key", "value"),
			"020179000a0576616c7565"},
		{"checkpoint entry, on disk with expiry", encodeEntry(indexEntry{place: valueOnDisk, expiry: 50, segment: 5, offset: 1234, size: 99}, "key", ""),
			"020179810a6405d20963"},
		{"checkpoint entry, lost", encodeEntry(indexEntry{place: valueLost}, "key", ""),
			"020179020a"},
		{"manifest", (&manifest{storeID: store, generation: 9, activeSegment: 7, syncedSeq: 299, firstSegment: 1,
			checkpoints: [retainedCheckpoints]checkpointRef{{2, 200, 4000, 5}, {3, 280, 4100, 6}}}).encode(),
			"6f7862774d414e0a01000000efcdab89674523010900000000000000070000002b010000000000000100000002000000" +
				"c800000000000000a00f0000000000000500000003000000180100000000000004100000000000000600000000000000" +
				"0000000000000000000000000000000000000000000000000000000061265c76"},
	} {
		assert.Equal(t, c.want, hex.EncodeToString(c.bytes), c.name)
	}
	assert.EqualValues(t, batchMagic, binary.LittleEndian.Uint32(header))
	assert.Equal(t, []string{"00000007.log", "00000007.ckp", "MANIFEST", "MANIFEST.tmp", "RESERVE", "LOCK", "damaged-"},
		[]string{segmentName(number), checkpointName(number), manifestName, manifestTempName, reserveName, LockName, quarantinePrefix})
}
