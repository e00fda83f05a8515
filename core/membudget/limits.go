package membudget

const (
	// DefaultRuntimeBytes is the memory limit of the garbage collector for machines whose
	// memory is unknown, and the least one for others that have room for it.
	DefaultRuntimeBytes = 96 << 20
	// runtimeShare is the share of a machine's memory for the garbage collector's limit. The
	// rest is for the program itself and for the buffers of sockets.
	runtimeShare = 0.7
	// maxRuntimeShare is the most that the limit may be, so that the smallest machine of 136
	// MB keeps 35 MB for the program and for the buffers of sockets.
	maxRuntimeShare = 0.75
	// reserveBytes is the part of the limit for what callers cannot influence: configuration,
	// membership, health, weights and the runtime. Control traffic may use 32 MB of it.
	reserveBytes = 40 << 20
	// minCallerShare is the least share of the limit for callers.
	minCallerShare = 1.0 / 3
)

// RuntimeLimit returns the memory limit of the garbage collector for a machine, in bytes.
// memoryBytes is the machine's memory, or 0 if it is unknown.
func RuntimeLimit(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return DefaultRuntimeBytes
	}
	memory := float64(memoryBytes)
	return int64(min(max(DefaultRuntimeBytes, runtimeShare*memory), maxRuntimeShare*memory))
}

// CallerLimit returns the part of RuntimeLimit that callers may make the process hold, in bytes.
func CallerLimit(memoryBytes int64) int64 {
	limit := RuntimeLimit(memoryBytes)
	return max(limit-reserveBytes, int64(minCallerShare*float64(limit)))
}
