package logs

import "sync"

// Dropped lines are counted for at most maxMessages distinct messages between two reports; the rest count under
// otherMessages. The number of distinct messages is unbounded because libraries put arbitrary text into theirs.
const (
	otherMessages = "others"
	maxMessages   = 64
)

// droppedCounts counts dropped lines by message. Its zero value is ready to use.
type droppedCounts struct {
	mu       sync.Mutex
	all      uint64
	messages map[string]uint64 // since the last call of take
}

func (droppedCounts *droppedCounts) add(message string) {
	droppedCounts.mu.Lock()
	defer droppedCounts.mu.Unlock()
	droppedCounts.all++
	if droppedCounts.messages == nil {
		droppedCounts.messages = map[string]uint64{}
	}
	if _, known := droppedCounts.messages[message]; !known && len(droppedCounts.messages) >= maxMessages {
		message = otherMessages
	}
	droppedCounts.messages[message]++
}

// count returns the total number of dropped lines.
func (droppedCounts *droppedCounts) count() uint64 {
	droppedCounts.mu.Lock()
	defer droppedCounts.mu.Unlock()
	return droppedCounts.all
}

// take returns the counts by message since the last call and resets them.
func (droppedCounts *droppedCounts) take() map[string]uint64 {
	droppedCounts.mu.Lock()
	defer droppedCounts.mu.Unlock()
	messages := droppedCounts.messages
	droppedCounts.messages = nil
	return messages
}
