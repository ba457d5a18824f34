package serve

import (
	"sync"
	"sync/atomic"
)

// replyBuffer holds the parts of a reply that wait for a slow caller, so that it occupies no slot of a server and delays no other call.
// The reply of one call is bounded by its parser. bufferedBytes, which all buffers share, is bounded by maxBytes; a call whose reply
// would exceed it is aborted.
type replyBuffer struct {
	lock          sync.Mutex
	waiting       []replyItem
	ready         chan struct{}
	bufferedBytes *atomic.Int64
	maxBytes      int64
	closed        bool
}

func newReplyBuffer(bufferedBytes *atomic.Int64, maxBytes int64) *replyBuffer {
	return &replyBuffer{ready: make(chan struct{}, 1), bufferedBytes: bufferedBytes, maxBytes: maxBytes}
}

// put adds an item without waiting, and reports whether there was room. A closed buffer drops it.
func (buffer *replyBuffer) put(item replyItem) bool {
	buffer.lock.Lock()
	defer buffer.lock.Unlock()
	size := int64(len(item.chunk))
	if buffer.closed {
		return true
	}
	if buffer.bufferedBytes.Add(size) > buffer.maxBytes && size > 0 {
		buffer.bufferedBytes.Add(-size)
		return false
	}
	buffer.waiting = append(buffer.waiting, item)
	select {
	case buffer.ready <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns the oldest item, if there is one.
func (buffer *replyBuffer) take() (replyItem, bool) {
	buffer.lock.Lock()
	defer buffer.lock.Unlock()
	if len(buffer.waiting) == 0 {
		return replyItem{}, false
	}
	item := buffer.waiting[0]
	buffer.waiting = buffer.waiting[1:]
	buffer.bufferedBytes.Add(-int64(len(item.chunk)))
	return item, true
}

// close drops all items and those that are put later, when the caller is gone.
func (buffer *replyBuffer) close() {
	buffer.lock.Lock()
	defer buffer.lock.Unlock()
	buffer.closed = true
	for _, item := range buffer.waiting {
		buffer.bufferedBytes.Add(-int64(len(item.chunk)))
	}
	buffer.waiting = nil
}
