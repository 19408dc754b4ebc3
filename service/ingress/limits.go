// Package ingress bounds the memory and the connections that callers can make a process use. All of a
// process's requests share one Budget.
package ingress

import (
	"time"

	"golang.org/x/sys/unix"
)

// Limits are those of a process.
type Limits struct {
	// Memory is the most that callers may occupy at a time: connections, bodies that are being read or
	// decoded, and jobs that wait for their answer, in bytes.
	Memory int64
	// Shared is the most that callers and the jobs that have been accepted may occupy together. What
	// SetJobs counts beyond the rest of it lowers Memory.
	Shared int64
	// SmallReserve is the part of Memory that only requests of up to SmallBytes may use.
	SmallReserve int64
	// Connections is the most that callers may have open.
	Connections int
}

const (
	// SmallBytes is the size up to which a request is small. Typical ones have 300 to 5,000 bytes.
	SmallBytes = 16 << 10
	// socketBuffer is the size of the receive and the send buffer of a caller's socket. The kernel
	// doubles it, as it counts its own overhead too.
	socketBuffer = 16 << 10
	// connectionBytes is what an open connection occupies in the process: two buffers of 4 KB, the
	// stack of its goroutine, and headers.
	connectionBytes = 24 << 10
	// stalledAfter is how long a request makes no progress until it is shed before larger ones. A
	// shorter time would count a sender's usual pauses between packets.
	stalledAfter = 250 * time.Millisecond
	// slowAfter is how long an incomplete request keeps its connection although connections are short and
	// bytes of it arrive, so that a few bytes now and then do not keep others out.
	slowAfter = time.Second
	// writeTimeout is how long a caller may leave an answer unread.
	writeTimeout = 10 * time.Second
	// maxReadTime bounds reading a request whose caller gives no time and whose route has none.
	maxReadTime = time.Minute

	// maxPassedOver bounds the search for an idle connection without unread bytes.
	maxPassedOver = 8

	// The process needs the rest of its memory for its own state, for garbage (its soft limit is 0.75
	// of the memory) and for unread bytes.
	memoryShare = 3
	// sharedShare is the part of the memory that callers and accepted jobs may take together, in hundredths. What
	// is left of the soft limit is for the idle process and for garbage.
	sharedShare = 55
	// unreadShare is the part of the memory that unread bytes in sockets may take.
	unreadShare       = 6
	smallReserveShare = 4   // of Memory
	fileDescriptors   = 200 // that are kept for files
	ownSocketsShare   = 4   // of the other descriptors: for peers, endpoints and the store
	// backlogShare is the part of Connections that may wait to be accepted besides.
	backlogShare       = 2
	minConnections     = 16
	defaultMemory      = 512 << 20
	minDescriptors     = fileDescriptors + 2*minConnections
	unknownDescriptors = 1024 // if the kernel does not name a limit
)

// LimitsOf returns the limits of a process that may use this much memory in bytes and so many
// descriptors. 0 stands for 512 MB and for the descriptors that the kernel allows the process.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = allowedDescriptors()
	}
	sockets := max(descriptors, minDescriptors) - fileDescriptors
	limit := memory / memoryShare
	return Limits{
		Memory: limit, Shared: memory / 100 * sharedShare, SmallReserve: limit / smallReserveShare,
		Connections: max(minConnections, min(sockets-sockets/ownSocketsShare, int(memory/unreadShare/(2*socketBuffer)))),
	}
}

func allowedDescriptors() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return unknownDescriptors
	}
	return int(min(l.Cur, 1<<20))
}
