package eventloop

import (
	"math"

	"golang.org/x/sys/unix"
)

// MaxDescriptors returns the resource limit on the file descriptors of the process, or the greatest int if it is not known.
func MaxDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt
	}
	return int(limit.Cur)
}
