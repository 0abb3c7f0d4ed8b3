package logs

import "sync"

// otherMessages stands for the messages beyond the first ones: those of libraries may hold anything.
const (
	otherMessages = "others"
	mostMessages  = 64
)

// dropped counts lines dropped by message; the zero value has none.
type dropped struct {
	mu       sync.Mutex
	all      uint64
	messages map[string]uint64 // since they were last taken
}

func (dropped *dropped) add(message string) {
	dropped.mu.Lock()
	defer dropped.mu.Unlock()
	dropped.all++
	if dropped.messages == nil {
		dropped.messages = map[string]uint64{}
	}
	if _, known := dropped.messages[message]; !known && len(dropped.messages) >= mostMessages {
		message = otherMessages
	}
	dropped.messages[message]++
}

// count returns how many lines were dropped.
func (dropped *dropped) count() uint64 {
	dropped.mu.Lock()
	defer dropped.mu.Unlock()
	return dropped.all
}

// take returns the counts since the last call.
func (dropped *dropped) take() map[string]uint64 {
	dropped.mu.Lock()
	defer dropped.mu.Unlock()
	messages := dropped.messages
	dropped.messages = nil
	return messages
}
