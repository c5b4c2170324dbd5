package membership

// countFault counts a fault and returns true, or returns false if the limit is reached. Faults without a limit are
// not counted: otherwise states that differ only in the count would be explored separately.
func countFault(count *int8, limit int8) bool {
	switch {
	case limit == unlimited:
		return true
	case *count >= limit:
		return false
	}
	*count++
	return true
}

// transition is a state that follows one event, with the outcome of that event.
type transition struct {
	state   diskModel
	outcome outcome
}

// transitions returns the states after each possible event.
func (w diskModel) transitions(r diskRules) (next []transition) {
	add := func(change func(*diskModel) bool) {
		x := w
		if !change(&x) {
			return
		}
		if result := x.converge(r); result != converged || x != w {
			next = append(next, transition{x, result})
		}
	}
	add(func(x *diskModel) bool { return x.commit(func(*config) {}) })
	add((*diskModel).changeMembership)
	for i := range w.size {
		add(func(x *diskModel) bool { return x.join(i) })
		add(func(x *diskModel) bool { return x.startOrStopNode(i) })
		if w.nodes[i].up {
			add(func(x *diskModel) bool { return x.backUpFolder(i, r) })
			continue
		}
		add(func(x *diskModel) bool { return x.wipeFolder(i, r) })
		add(func(x *diskModel) bool { return x.restoreBackup(i, r) })
		add(func(x *diskModel) bool { return x.unmountFolder(i, r) })
		add(func(x *diskModel) bool { return x.remountFolder(i) })
	}
	return next
}

func (w *diskModel) startOrStopNode(i int) bool {
	node := &w.nodes[i]
	node.up = !node.up
	if node.up {
		node.starts++
	} else {
		node.running = false
	}
	return true
}

func (w *diskModel) backUpFolder(i int, r diskRules) bool {
	w.backups[i] = w.nodes[i].diskState
	return r.limits.rolledBack != 0
}

// assignEmptyFolder gives a node an empty folder with a new disk identity. It returns false if the node has used
// maxGenerations identities.
func (w *diskModel) assignEmptyFolder(i int) bool {
	node := &w.nodes[i]
	if node.nextGeneration >= maxGenerations {
		return false
	}
	node.diskState = diskState{generation: node.nextGeneration}
	node.nextGeneration++
	return true
}

func (w *diskModel) wipeFolder(i int, r diskRules) bool {
	if !r.diskIDs {
		w.nodes[i].diskState = diskState{}
		return true
	}
	return w.assignEmptyFolder(i) && countFault(&w.faults.wiped, r.limits.wiped)
}

func (w *diskModel) restoreBackup(i int, r diskRules) bool {
	if w.backups[i].logLength == 0 || !countFault(&w.faults.rolledBack, r.limits.rolledBack) {
		return false
	}
	w.nodes[i].diskState = w.backups[i]
	return true
}

// unmountFolder replaces a node's folder by an empty one and sets the original aside, as if its file system were
// not mounted.
func (w *diskModel) unmountFolder(i int, r diskRules) bool {
	folder := w.nodes[i].diskState
	if folder.logLength == 0 || w.unmounted[i].logLength > 0 || !w.assignEmptyFolder(i) {
		return false
	}
	w.unmounted[i] = folder
	return countFault(&w.faults.unmounted, r.limits.unmounted)
}

// remountFolder restores the folder that unmountFolder has set aside.
func (w *diskModel) remountFolder(i int) bool {
	if w.unmounted[i].logLength == 0 {
		return false
	}
	w.nodes[i].diskState = w.unmounted[i]
	w.unmounted[i] = diskState{}
	return true
}
