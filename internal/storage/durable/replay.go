package durable

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// replay applies the log from a position on, as far as it is consistent.
func (r *recovery) replay(start position) error {
	r.end = start
	for number := start.segment; ; number++ {
		s := r.index.segments[number]
		if s == nil {
			if number <= r.manifest.activeSegment {
				r.report.addFault(newFault(segmentName(number), 0, "is missing"))
			}
			r.finishReplay(number)
			return nil
		}
		entered, err := r.enterSegment(s, number == start.segment)
		if err != nil {
			return err
		}
		if !entered {
			r.finishReplay(number)
			return nil
		}
		complete, err := r.replaySegment(s)
		if err != nil {
			return err
		}
		if !complete {
			r.finishReplay(number + 1)
			return nil
		}
	}
}

// enterSegment checks a segment's header against the position of the replay.
func (r *recovery) enterSegment(s *segment, first bool) (ok bool, err error) {
	if s.number > r.manifest.activeSegment && s.size <= headerLen {
		return false, nil // a crash came before the manifest named it
	}
	name := segmentName(s.number)
	h, err := s.readHeader()
	if err != nil && !errors.Is(err, ErrDamaged) {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	if err == nil {
		err = r.checkSequence(s, &h, first)
	}
	if err != nil {
		r.report.addFault(err)
		return false, nil
	}
	if !first {
		r.end = position{s.number, headerLen, h.previousSeq, h.checksum}
	}
	return true, nil
}

// checkSequence finds a segment that does not belong at the position of the replay.
func (r *recovery) checkSequence(s *segment, h *segmentHeader, first bool) error {
	name := segmentName(s.number)
	if h.storeID != r.manifest.storeID || h.number != s.number {
		return newFault(name, headerStoreOffset, "belongs to another store or another place")
	}
	if first {
		return r.checkFirstSegment(name, h)
	}
	if h.previousSeq != r.end.seq || h.previousChain != r.end.chain || h.previousSize != r.end.offset {
		return newFault(name, segmentPreviousSizeOffset, "does not follow the segment before")
	}
	if s.number > r.manifest.activeSegment {
		return newFault(name, 0, "is newer than the manifest")
	}
	return nil
}

// checkFirstSegment checks the segment that the replay begins in. In the middle of
// a segment the first batch's chain proves more than the header could.
func (r *recovery) checkFirstSegment(name string, h *segmentHeader) error {
	if r.end.offset != headerLen {
		return nil
	}
	if r.end.chain == 0 && r.report.CheckpointNumber == 0 {
		r.end.chain = h.checksum
		r.end.seq = h.previousSeq
	}
	if h.checksum != r.end.chain || h.previousSeq != r.end.seq {
		return newFault(name, segmentPreviousSeqOffset, "is not the one that the checkpoint was taken with")
	}
	return nil
}

// replaySegment applies the batches of one segment. It is complete if the next may
// follow.
func (r *recovery) replaySegment(s *segment) (complete bool, err error) {
	name := segmentName(s.number)
	if r.end.offset > s.size {
		r.report.addFault(newFault(name, s.size, "is cut short before byte %d, where a checkpoint was taken", r.end.offset))
		return false, nil
	}
	begin := r.end.offset
	err = readBatches(s, &r.end, func(h batchHeader, payload []byte, offset int64) error {
		r.report.ReplayedBatches++
		return r.index.apply(s.number, offset, h, payload)
	})
	r.logBytesSinceCheckpoint += r.end.offset - begin
	switch {
	case errors.Is(err, ErrDamaged):
		return false, r.classifyTail(s, err)
	case err != nil:
		return false, fmt.Errorf("%s: %w", name, err)
	}
	return true, nil
}

// classifyTail decides whether the bytes after the last good batch of a segment
// are a torn tail, which may be truncated, or damage: a later segment, or a later
// batch whose header has a higher syncedSeq, proves that acknowledged batches are
// missing.
func (r *recovery) classifyTail(s *segment, fault error) error {
	laterSyncedSeq, err := findSyncedSeq(s, r.end)
	if err != nil {
		return fmt.Errorf("%s: %w", segmentName(s.number), err)
	}
	nextHoldsBatches := r.index.segments[s.number+1] != nil && r.files[segmentName(s.number+1)] > headerLen
	switch {
	case s.number < r.manifest.activeSegment || nextHoldsBatches:
		r.report.addFault(fault)
		r.maxSeq = max(r.maxSeq, laterSyncedSeq)
	case laterSyncedSeq > r.end.seq:
		r.report.addFault(fmt.Errorf("%w; batches up to %d were on disk", fault, laterSyncedSeq))
		r.maxSeq = max(r.maxSeq, laterSyncedSeq)
	default:
		r.report.TruncatedBytes = s.size - r.end.offset
		r.report.Loss = max(r.report.Loss, TailLoss)
	}
	return nil
}

// finishReplay checks the end of the replay against the manifest. The argument is
// the first segment that the replay did not enter.
func (r *recovery) finishReplay(next uint32) {
	r.maxSeq = max(r.maxSeq, r.end.seq)
	if r.end.seq < r.manifest.syncedSeq {
		r.report.addFault(fmt.Errorf("the log ends with batch %d, but batch %d was on disk", r.end.seq, r.manifest.syncedSeq))
	}
	for _, n := range r.segments {
		if n >= next && n > r.manifest.activeSegment && r.files[segmentName(n)] > headerLen {
			r.report.addFault(newFault(segmentName(n), 0, "is newer than the manifest"))
			break
		}
	}
}

// scanChunkBytes is the length of reads of the log.
const scanChunkBytes = 256 << 10

// visitBatch is called for a batch at an offset of its segment. The payload is valid
// during the call only.
type visitBatch func(h batchHeader, payload []byte, offset int64) error

// batchReader reads the batches of a segment one after the other.
type batchReader struct {
	segment *segment
	in      io.Reader // the segment's bytes from the position on
	at      *position // behind the last batch that was read
	payload []byte    // of the last batch; reused for the next
}

// readBatches reads the batches of a segment from a position on, each checked
// completely before it is visited, and moves the position behind it. It returns nil at
// the segment's end, and an error that matches ErrDamaged at a place from which no
// batch can be read.
func readBatches(s *segment, at *position, visit visitBatch) error {
	remaining := io.NewSectionReader(s.file, at.offset, s.size-at.offset)
	bufferBytes := int(min(s.size-at.offset+1, scanChunkBytes))
	r := &batchReader{segment: s, in: bufio.NewReaderSize(remaining, bufferBytes), at: at}
	for at.offset < s.size {
		h, err := r.readHeader()
		if err != nil {
			return err
		}
		if err := r.readPayload(&h); err != nil {
			return err
		}
		if err := visit(h, r.payload, at.offset); err != nil {
			return err
		}
		at.offset += batchHeaderLen + int64(h.payloadLen)
		at.seq = h.seq
		at.chain = h.checksum
	}
	return nil
}

// readHeader reads the next batch's header, which must follow the batch before.
func (r *batchReader) readHeader() (batchHeader, error) {
	remainingBytes := r.segment.size - r.at.offset
	if remainingBytes < batchHeaderLen {
		return batchHeader{}, r.fault("batch is cut short")
	}
	var encoded [batchHeaderLen]byte
	if _, err := io.ReadFull(r.in, encoded[:]); err != nil {
		return batchHeader{}, err
	}
	h, ok := parseBatchHeader(encoded[:], r.segment.salt)
	switch {
	case !ok:
		return h, r.fault("batch's header is wrong")
	case h.seq != r.at.seq+1 || h.previousChecksum != r.at.chain:
		return h, r.fault("batch does not follow the one before")
	case int64(h.payloadLen) > remainingBytes-batchHeaderLen:
		return h, r.fault("batch is cut short")
	}
	return h, nil
}

// readPayload reads and checks the payload that follows a header.
func (r *batchReader) readPayload(h *batchHeader) error {
	if cap(r.payload) < int(h.payloadLen) {
		r.payload = make([]byte, h.payloadLen)
	}
	r.payload = r.payload[:h.payloadLen]
	if _, err := io.ReadFull(r.in, r.payload); err != nil {
		return err
	}
	if !h.matches(r.payload, r.segment.salt) {
		return r.fault("batch's checksum is wrong")
	}
	return nil
}

// fault is damage at the batch that is read.
func (r *batchReader) fault(reason string) error {
	return newFault(segmentName(r.segment.number), r.at.offset, "%s", reason)
}

// findSyncedSeq searches the bytes behind a bad place for headers of later batches,
// and returns the highest syncedSeq that they state; 0 if there is none.
func findSyncedSeq(s *segment, from position) (seq uint64, err error) {
	magic := binary.LittleEndian.AppendUint32(nil, batchMagic)
	chunk := make([]byte, min(scanChunkBytes+batchHeaderLen, max(0, s.size-from.offset)))
	for offset := from.offset; offset < s.size; offset += scanChunkBytes {
		n := min(int64(len(chunk)), s.size-offset)
		if err := readFull(s.file, chunk[:n], offset); err != nil {
			return 0, err
		}
		for i := 0; ; i++ {
			next := bytes.Index(chunk[i:n], magic)
			if next < 0 {
				break
			}
			i += next
			if h, ok := parseBatchHeader(chunk[i:n], s.salt); ok && h.seq > from.seq {
				seq = max(seq, h.syncedSeq)
			}
		}
	}
	return seq, nil
}
