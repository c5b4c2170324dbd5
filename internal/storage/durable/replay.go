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
		return false, nil // its creation was cut off
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
		return newFault(name, 24, "does not follow the segment before")
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
		return newFault(name, 32, "is not the one that the checkpoint was taken with")
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
	reason, err := readBatches(s, &r.end, func(h batchHeader, payload []byte, offset int64) error {
		r.report.ReplayedBatches++
		return r.index.apply(s.number, offset, h, payload)
	})
	r.logBytesSinceCheckpoint += r.end.offset - begin
	if err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	if reason == "" {
		return true, nil
	}
	return false, r.classifyTail(s, newFault(name, r.end.offset, "%s", reason))
}

// classifyTail decides whether the bytes after the last good batch of a segment
// are a torn tail, which may be truncated, or damage: a later segment, or a later
// batch that attests a sync, proves that acknowledged batches are missing.
func (r *recovery) classifyTail(s *segment, fault error) error {
	attestedSeq, err := findSyncedSeq(s, r.end)
	if err != nil {
		return fmt.Errorf("%s: %w", segmentName(s.number), err)
	}
	nextHoldsBatches := r.index.segments[s.number+1] != nil && r.files[segmentName(s.number+1)] > headerLen
	switch {
	case s.number < r.manifest.activeSegment || nextHoldsBatches:
		r.report.addFault(fault)
		r.maxSeq = max(r.maxSeq, attestedSeq)
	case attestedSeq > r.end.seq:
		r.report.addFault(fmt.Errorf("%w; batches up to %d were on disk", fault, attestedSeq))
		r.maxSeq = max(r.maxSeq, attestedSeq)
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

// readBatches reads batches from a position on, each checked completely before it
// is visited, and moves the position behind it. It ends at the segment's end, with
// no reason, or at a place that no batch can be read from, with the reason.
func readBatches(s *segment, at *position, visit visitBatch) (reason string, err error) {
	rest := io.NewSectionReader(s.file, at.offset, s.size-at.offset)
	in := bufio.NewReaderSize(rest, int(min(s.size-at.offset+1, scanChunkBytes)))
	var header [batchHeaderLen]byte
	var payload []byte
	for at.offset < s.size {
		if s.size-at.offset < batchHeaderLen {
			return "batch is cut short", nil
		}
		if _, err := io.ReadFull(in, header[:]); err != nil {
			return "", err
		}
		h, ok := parseBatchHeader(header[:], s.salt)
		switch {
		case !ok:
			return "batch's header is wrong", nil
		case h.seq != at.seq+1 || h.previousChecksum != at.chain:
			return "batch does not follow the one before", nil
		case int64(h.payloadLen) > s.size-at.offset-batchHeaderLen:
			return "batch is cut short", nil
		}
		if cap(payload) < int(h.payloadLen) {
			payload = make([]byte, h.payloadLen)
		}
		payload = payload[:h.payloadLen]
		if _, err := io.ReadFull(in, payload); err != nil {
			return "", err
		}
		if !h.matches(payload, s.salt) {
			return "batch's checksum is wrong", nil
		}
		if err := visit(h, payload, at.offset); err != nil {
			return "", err
		}
		at.offset += batchHeaderLen + int64(h.payloadLen)
		at.seq = h.seq
		at.chain = h.checksum
	}
	return "", nil
}

// findSyncedSeq searches the bytes behind a bad place for batches that attest that
// others before them were synced, and returns the last batch so attested; 0 if
// there is none.
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
