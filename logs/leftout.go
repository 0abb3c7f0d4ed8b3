package logs

import "sync"

// otherMessages stands for the messages beyond the first ones: those of libraries may hold anything.
const (
	otherMessages = "others"
	mostMessages  = 64
)

// leftOut counts lines left out by message; the zero value has none.
type leftOut struct {
	mu       sync.Mutex
	all      uint64
	messages map[string]uint64 // since they were last taken
}

func (leftOut *leftOut) add(message string) {
	leftOut.mu.Lock()
	defer leftOut.mu.Unlock()
	leftOut.all++
	if leftOut.messages == nil {
		leftOut.messages = map[string]uint64{}
	}
	if _, known := leftOut.messages[message]; !known && len(leftOut.messages) >= mostMessages {
		message = otherMessages
	}
	leftOut.messages[message]++
}

// count returns how many lines were left out.
func (leftOut *leftOut) count() uint64 {
	leftOut.mu.Lock()
	defer leftOut.mu.Unlock()
	return leftOut.all
}

// take returns the counts since the last call.
func (leftOut *leftOut) take() map[string]uint64 {
	leftOut.mu.Lock()
	defer leftOut.mu.Unlock()
	messages := leftOut.messages
	leftOut.messages = nil
	return messages
}
