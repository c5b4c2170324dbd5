package durable

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"slices"

	"oxbowbridge/internal/storage/durable/vfs"
)

// recovered is what a folder comes to. Reading it changes nothing.
type recovered struct {
	fresh    bool // nothing was ever acknowledged here
	man      *manifest
	idx      *index
	end      position // of the recovered state
	behind   int64    // bytes of log after the checkpoint
	ckps     [keptCkps]ckpRef
	files    map[string]int64
	maxSeg   uint32
	maxCkp   uint32
	maxSeq   uint64 // of any batch that was seen, also beyond the end
	report   *Report
	segments []uint32
}

func (r *recovered) close() {
	if r.idx == nil {
		return
	}
	for _, s := range r.idx.segs {
		s.file.Close()
	}
}

// recoverFrom reads a folder as far as it is consistent. The error is one of the
// device; what is wrong with the files is in the report.
func recoverFrom(fsys vfs.FS, o *Options) (*recovered, error) {
	list, err := fsys.List()
	if err != nil {
		return nil, err
	}
	r := &recovered{files: map[string]int64{}, report: &Report{Faults: []string{}, Warnings: []string{}}}
	var ckps []uint32
	for _, f := range list {
		r.files[f.Name] = f.Size
		if n, ok := numbered(f.Name, logSuffix); ok {
			r.segments, r.maxSeg = append(r.segments, n), max(r.maxSeg, n)
		}
		if n, ok := numbered(f.Name, ckpSuffix); ok {
			ckps, r.maxCkp = append(ckps, n), max(r.maxCkp, n)
		}
	}
	slices.Sort(r.segments)
	if err := r.readManifest(fsys, ckps); err != nil || r.fresh || r.report.Unrecoverable {
		return r, err
	}
	from, err := r.base(fsys, o)
	if err == nil && !r.report.Unrecoverable {
		err = r.replay(fsys, from)
	}
	if err != nil {
		r.close()
		return nil, err
	}
	r.sums()
	return r, nil
}

func (r *recovered) readManifest(fsys vfs.FS, ckps []uint32) error {
	b, err := readFile(fsys, manifestName, manifestLen+1)
	if errors.Is(err, fs.ErrNotExist) {
		if len(ckps) == 0 && (len(r.segments) == 0 || len(r.segments) == 1 && r.segments[0] == 1 && r.files[logName(1)] <= headerLen) {
			r.fresh = true // or its creation was cut off
			return nil
		}
		err = faulty(manifestName, 0, "is missing")
	} else if err != nil {
		return fmt.Errorf("%s: %w", manifestName, err)
	} else if r.man, err = parseManifest(b); err == nil {
		r.ckps, r.maxSeg, r.maxSeq = r.man.ckps, max(r.maxSeg, r.man.active), r.man.floor
		return nil
	}
	r.report.add(err)
	return r.guessManifest(fsys, ckps)
}

// guessManifest makes up for a manifest that can't be read, from the other files.
func (r *recovered) guessManifest(fsys vfs.FS, ckps []uint32) error {
	r.man = &manifest{active: r.maxSeg}
	var refs []ckpRef
	for _, n := range ckps {
		b, err := readFile(fsys, ckpName(n), headerLen)
		if err != nil {
			return fmt.Errorf("%s: %w", ckpName(n), err)
		}
		if h, err := parseCkpHeader(b, ckpName(n)); err == nil && h.number == n {
			r.man.store = h.store
			refs = append(refs, ckpRef{n, h.at.seq, r.files[ckpName(n)], h.at.segment})
		}
	}
	slices.SortFunc(refs, func(a, b ckpRef) int { return int(int64(a.number) - int64(b.number)) })
	refs = refs[max(0, len(refs)-keptCkps):]
	copy(r.ckps[keptCkps-len(refs):], refs)
	for _, n := range r.segments {
		b, err := readFile(fsys, logName(n), headerLen)
		if err != nil {
			return fmt.Errorf("%s: %w", logName(n), err)
		}
		if h, err := parseSegHeader(b, logName(n)); err == nil && h.number == n {
			r.man.store = h.store
			if n == 1 && h.prevSeq == 0 {
				r.man.first = 1
			}
		}
	}
	r.man.ckps = r.ckps
	return nil
}

// base loads the newest checkpoint that is readable, and says where the log goes on.
func (r *recovered) base(fsys vfs.FS, o *Options) (position, error) {
	for i := keptCkps - 1; i >= 0; i-- {
		ref := r.ckps[i]
		if ref.number == 0 {
			continue
		}
		if err := r.newIndex(fsys, o); err != nil {
			return position{}, err
		}
		var gone []entry
		h, err := readCheckpoint(fsys, ref, r.man.store, func(e entry) {
			if s := r.idx.segs[e.segment]; e.place == onDisk && (s == nil || int64(e.offset)+int64(e.size) > s.size) {
				gone = append(gone, e)
			}
			r.idx.load(e)
		})
		if err == nil {
			r.report.CheckpointNumber = ref.number
			for _, e := range gone {
				r.report.add(fmt.Errorf("%s: value of %q is missing", logName(e.segment), e.key()))
			}
			r.idx.lose(h.at.seq, gone)
			return h.at, nil
		}
		if !errors.Is(err, ErrDamaged) && !errors.Is(err, fs.ErrNotExist) {
			return position{}, err
		}
		r.report.warn("checkpoint not used: %v", err)
		r.ckps[i] = ckpRef{}
	}
	if r.man.first != 0 {
		if err := r.newIndex(fsys, o); err != nil {
			return position{}, err
		}
		return position{segment: r.man.first, offset: headerLen}, nil
	}
	r.report.add(errors.New("no checkpoint can be read, and the log does not go back to the beginning"))
	r.report.Unrecoverable = true
	return position{}, nil
}

// newIndex opens all segments for an empty index.
func (r *recovered) newIndex(fsys vfs.FS, o *Options) error {
	r.close()
	r.idx = newIndex(o.MaxInlineBytes)
	for _, n := range r.segments {
		f, err := fsys.Open(logName(n))
		if err != nil {
			return fmt.Errorf("%s: %w", logName(n), err)
		}
		r.idx.segs[n] = &segment{number: n, file: f, size: r.files[logName(n)], salt: saltOf(r.man.store, 'l', n), sealed: true}
	}
	return nil
}

// replay applies the log from a position on, as far as it is whole.
func (r *recovered) replay(fsys vfs.FS, at position) error {
	r.end = at
	for number := at.segment; ; number++ {
		s := r.idx.segs[number]
		if s == nil {
			if number <= r.man.active {
				r.report.add(faulty(logName(number), 0, "is missing"))
			}
			return r.ended(number)
		}
		started, err := r.enter(s, number == at.segment)
		if err != nil {
			return err
		}
		if !started {
			return r.ended(number)
		}
		whole, err := r.segment(s)
		if err != nil {
			return err
		}
		if !whole {
			return r.ended(number + 1)
		}
	}
}

// enter checks a segment's header against where the replay stands.
func (r *recovered) enter(s *segment, first bool) (ok bool, err error) {
	if s.number > r.man.active && s.size <= headerLen {
		return false, nil // its creation was cut off
	}
	b, name := make([]byte, min(s.size, headerLen)), logName(s.number)
	if err := readFull(s.file, b, 0); err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	h, err := parseSegHeader(b, name)
	if err == nil && (h.store != r.man.store || h.number != s.number) {
		err = faulty(name, 12, "belongs to another store or another place")
	}
	switch {
	case err != nil:
	case first && r.end.offset == headerLen:
		if r.end.chain == 0 && r.report.CheckpointNumber == 0 {
			r.end.chain, r.end.seq = h.sum, h.prevSeq
		}
		if h.sum != r.end.chain || h.prevSeq != r.end.seq {
			err = faulty(name, 32, "is not the one that the checkpoint was taken with")
		}
	case first:
	case h.prevSeq != r.end.seq || h.prevChain != r.end.chain || h.prevSize != r.end.offset:
		err = faulty(name, 24, "does not follow the segment before")
	case s.number > r.man.active:
		err = faulty(name, 0, "is newer than the manifest")
	}
	if err != nil {
		r.report.add(err)
		return false, nil
	}
	if !first {
		r.end = position{s.number, headerLen, h.prevSeq, h.sum}
	}
	return true, nil
}

// segment applies the batches of one segment. It is whole if the next may follow.
func (r *recovered) segment(s *segment) (whole bool, err error) {
	name := logName(s.number)
	if r.end.offset > s.size {
		r.report.add(faulty(name, s.size, "is cut short before byte %d, where a checkpoint was taken", r.end.offset))
		return false, nil
	}
	begin := r.end.offset
	what, err := walk(s, &r.end, func(f frame, payload []byte, at int64) error {
		r.report.ReplayedBatches++
		return r.idx.apply(s.number, at, f, payload)
	})
	r.behind += r.end.offset - begin
	if err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	if what == "" {
		return true, nil
	}
	bad := faulty(name, r.end.offset, "%s", what)
	switch later, err := attested(s, r.end); {
	case err != nil:
		return false, fmt.Errorf("%s: %w", name, err)
	case s.number < r.man.active || r.idx.segs[s.number+1] != nil && r.files[logName(s.number+1)] > headerLen:
		r.report.add(bad)
		r.maxSeq = max(r.maxSeq, later)
	case later > r.end.seq:
		r.report.add(fmt.Errorf("%w; batches up to %d were on disk", bad, later))
		r.maxSeq = max(r.maxSeq, later)
	default:
		r.report.TruncatedBytes = s.size - r.end.offset
		r.report.Loss = max(r.report.Loss, TailLoss)
	}
	return false, nil
}

// ended closes the replay; next is the first segment that it did not enter.
func (r *recovered) ended(next uint32) error {
	r.maxSeq = max(r.maxSeq, r.end.seq)
	if r.end.seq < r.man.floor {
		r.report.add(fmt.Errorf("the log ends with batch %d, but batch %d was on disk", r.end.seq, r.man.floor))
	}
	for _, n := range r.segments {
		if n >= next && n > r.man.active && r.files[logName(n)] > headerLen {
			r.report.add(faulty(logName(n), 0, "is newer than the manifest"))
			break
		}
	}
	return nil
}

// walk reads batches from a position on, each proven whole before it is given, and
// moves the position behind it. It ends at the segment's end, with "", or at a place
// that no batch can be read from, with what is wrong there.
func walk(s *segment, at *position, each func(f frame, payload []byte, at int64) error) (what string, err error) {
	in := bufio.NewReaderSize(io.NewSectionReader(s.file, at.offset, s.size-at.offset), int(min(s.size-at.offset+1, 256<<10)))
	var head [frameLen]byte
	var payload []byte
	for at.offset < s.size {
		if s.size-at.offset < frameLen {
			return "batch is cut short", nil
		}
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return "", err
		}
		f, ok := parseFrame(head[:], s.salt)
		switch {
		case !ok:
			return "batch's header is wrong", nil
		case f.seq != at.seq+1 || f.prev != at.chain:
			return "batch does not follow the one before", nil
		case int64(f.length) > s.size-at.offset-frameLen:
			return "batch is cut short", nil
		}
		if cap(payload) < int(f.length) {
			payload = make([]byte, f.length)
		}
		payload = payload[:f.length]
		if _, err := io.ReadFull(in, payload); err != nil {
			return "", err
		}
		if sum(s.salt, payload) != f.body || eachOp(payload, f.ops, checkOp) != nil {
			return "batch's checksum is wrong", nil
		}
		if err := each(f, payload, at.offset); err != nil {
			return "", err
		}
		at.offset += frameLen + int64(f.length)
		at.seq, at.chain = f.seq, f.sum
	}
	return "", nil
}

func checkOp(o op) error {
	if len(o.key) > math.MaxUint16 || len(o.key) == 0 && o.kind != opDeleteRange {
		return errOp
	}
	return nil
}

// attested looks behind a bad place for a batch that proves that others before it
// were on disk, and gives the last such batch; 0 if there is none.
func attested(s *segment, from position) (seq uint64, err error) {
	const chunk = 256 << 10
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	b := make([]byte, min(chunk+frameLen, max(0, s.size-from.offset)))
	for at := from.offset; at < s.size; at += chunk {
		n := min(int64(len(b)), s.size-at)
		if err := readFull(s.file, b[:n], at); err != nil {
			return 0, err
		}
		for i := 0; ; i++ {
			j := bytes.Index(b[i:n], magic)
			if j < 0 {
				break
			}
			i += j
			if f, ok := parseFrame(b[i:n], s.salt); ok && f.seq > from.seq {
				seq = max(seq, f.synced)
			}
		}
	}
	return seq, nil
}

// sums fills in what service and reports need once the index stands.
func (r *recovered) sums() {
	if r.idx == nil {
		return
	}
	for _, s := range r.idx.segs {
		if s.refs == 0 {
			s.deadSince = r.end.seq
		}
	}
	if s := r.idx.segs[r.end.segment]; s != nil {
		s.sealed, s.size = false, min(s.size, r.end.offset)
	}
	r.report.StoreID = fmt.Sprintf("%016x", r.man.store)
	r.report.Seq, r.report.Keys, r.report.Segments = r.end.seq, r.idx.tree.Len(), len(r.segments)
	r.report.LostKeys = int(r.idx.lost)
}
