package capacity

// The size that the design is for.
const (
	nodes              = 570
	databases          = 880
	slotsPerDatabase   = 3
	callers            = 2_000_000
	statementsPerSec   = 270_000
	changesPerDay      = 1000
	objectsPerChange   = 3
	restartsPerDay     = 240
	failuresPerDay     = 7
	ownersPerDatabase  = 3
	renewalsPerSec     = 2
	idlePollsPerSec    = 5
	leaderTicksPerSec  = 50
	secondsPerDay      = 86_400
	budgetCorePercent  = 2.1
	budgetMemoryMB     = 64
	budgetBytesPerSec  = 5 * 1024
	bytesPerMB         = 1 << 20
	failureDomains     = 7
	microPerSecond     = 1_000_000.0
	percent            = 100.0
	connectionsPerBase = 100
)
