package durable

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// replay applies the log from a position onward, as far as the log is consistent.
func (r *recovery) replay(start position) error {
	r.end = start
	for number := start.segment; ; number++ {
		s := r.index.segments[number]
		if s == nil {
			if number <= r.manifest.activeSegment {
				r.report.addFault(newFileFault(segmentName(number), 0, "is missing"))
			}
			r.finishReplay(number)
			return nil
		}
		accepted, err := r.checkSegmentHeader(s, number == start.segment)
		if err != nil {
			return err
		}
		if !accepted {
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

// checkSegmentHeader checks a segment's header against the position that the replay has
// reached, and moves the position to the segment's first batch.
func (r *recovery) checkSegmentHeader(s *segment, first bool) (ok bool, err error) {
	if s.number > r.manifest.activeSegment && s.size <= headerLen {
		return false, nil // a crash preceded the manifest that would name the segment
	}
	name := segmentName(s.number)
	h, err := s.readHeader()
	if err != nil && !errors.Is(err, ErrDamaged) {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	if err == nil {
		err = r.checkSegmentOrder(s, &h, first)
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

// checkSegmentOrder fails if a segment does not follow the position that the replay has
// reached.
func (r *recovery) checkSegmentOrder(s *segment, h *segmentHeader, first bool) error {
	name := segmentName(s.number)
	if h.storeID != r.manifest.storeID || h.number != s.number {
		return newFileFault(name, headerStoreOffset, "belongs to another store or another place")
	}
	if first {
		return r.checkFirstSegment(name, h)
	}
	if h.previousSeq != r.end.seq || h.previousChecksum != r.end.chainChecksum || h.previousSize != r.end.offset {
		return newFileFault(name, segmentPreviousSizeOffset, "does not follow the segment before")
	}
	if s.number > r.manifest.activeSegment {
		return newFileFault(name, 0, "is newer than the manifest")
	}
	return nil
}

// checkFirstSegment checks the segment in which the replay starts. It checks nothing if
// the replay starts in the middle of a segment, because the first batch has the
// checksum of the previous one.
func (r *recovery) checkFirstSegment(name string, h *segmentHeader) error {
	if r.end.offset != headerLen {
		return nil
	}
	if r.end.chainChecksum == 0 && r.report.CheckpointNumber == 0 {
		r.end.chainChecksum = h.checksum
		r.end.seq = h.previousSeq
	}
	if h.checksum != r.end.chainChecksum || h.previousSeq != r.end.seq {
		return newFileFault(name, segmentPreviousSeqOffset, "is not the one that the checkpoint was taken with")
	}
	return nil
}

// replaySegment applies the batches of one segment. It returns complete true if the
// replay may continue with the next segment.
func (r *recovery) replaySegment(s *segment) (complete bool, err error) {
	name := segmentName(s.number)
	if r.end.offset > s.size {
		r.report.addFault(newFileFault(name, s.size, "is cut short before byte %d, where a checkpoint was taken", r.end.offset))
		return false, nil
	}
	startOffset := r.end.offset
	err = readBatches(s, &r.end, func(h batchHeader, payload []byte, offset int64) error {
		r.report.ReplayedBatches++
		return r.index.apply(s.number, offset, h, payload)
	})
	r.logBytesSinceCheckpoint += r.end.offset - startOffset
	switch {
	case errors.Is(err, ErrDamaged):
		return false, r.classifyTail(s, err)
	case err != nil:
		return false, fmt.Errorf("%s: %w", name, err)
	}
	return true, nil
}

// classifyTail decides whether the bytes after the last valid batch of a segment are a
// torn tail, which may be truncated, or damage. They are damage if a later segment
// exists, or a later batch has a higher syncedSeq in its header: both prove that
// acknowledged batches are missing.
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
// the number of the first segment that was not replayed.
func (r *recovery) finishReplay(next uint32) {
	r.maxSeq = max(r.maxSeq, r.end.seq)
	if r.end.seq < r.manifest.syncedSeq {
		r.report.addFault(fmt.Errorf("the log ends with batch %d, but batch %d was on disk", r.end.seq, r.manifest.syncedSeq))
	}
	for _, n := range r.segments {
		if n >= next && n > r.manifest.activeSegment && r.files[segmentName(n)] > headerLen {
			r.report.addFault(newFileFault(segmentName(n), 0, "is newer than the manifest"))
			break
		}
	}
}

// scanChunkBytes is the length of one read of the log.
const scanChunkBytes = 256 << 10

// batchVisitor is called with a batch and its offset in the segment. The payload is
// valid only during the call.
type batchVisitor func(h batchHeader, payload []byte, offset int64) error

// batchReader reads the batches of a segment in sequence.
type batchReader struct {
	segment *segment
	in      io.Reader // reads the segment from the position onward
	end     *position // position after the last batch that was visited
	payload []byte    // payload of the last batch; the buffer is reused for the next one
}

// readBatches visits the batches of a segment from a position onward. It verifies each
// batch before the visit and advances the position after it. It returns nil at the end
// of the segment, and an error that matches ErrDamaged if no valid batch is at the
// position.
func readBatches(s *segment, end *position, visit batchVisitor) error {
	remaining := io.NewSectionReader(s.file, end.offset, s.size-end.offset)
	bufferBytes := int(min(s.size-end.offset+1, scanChunkBytes))
	r := &batchReader{segment: s, in: bufio.NewReaderSize(remaining, bufferBytes), end: end}
	for end.offset < s.size {
		h, err := r.readHeader()
		if err != nil {
			return err
		}
		if err := r.readPayload(&h); err != nil {
			return err
		}
		if err := visit(h, r.payload, end.offset); err != nil {
			return err
		}
		end.offset += batchHeaderLen + int64(h.payloadLen)
		end.seq = h.seq
		end.chainChecksum = h.checksum
	}
	return nil
}

// readHeader reads the next batch's header, which must continue the sequence.
func (r *batchReader) readHeader() (batchHeader, error) {
	remainingBytes := r.segment.size - r.end.offset
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
	case h.seq != r.end.seq+1 || h.previousChecksum != r.end.chainChecksum:
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

// fault returns a fault at the offset of the batch that is being read.
func (r *batchReader) fault(reason string) error {
	return newFileFault(segmentName(r.segment.number), r.end.offset, "%s", reason)
}

// findSyncedSeq searches the bytes from a position onward for headers of later batches,
// and returns the highest syncedSeq in them, or 0 if there is none.
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
