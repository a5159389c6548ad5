package leader

import (
	"time"

	"trefoilcourse/coord/quota"
	"trefoilcourse/wire"
)

// usageCaps returns the usage caps of the configuration.
func (l *Leader) usageCaps() map[string]quota.Cap {
	caps := map[string]quota.Cap{}
	for name, w := range l.configuration.Workspaces {
		if w.OperationsPerSecond > 0 {
			caps[name] = quota.Cap{Rate: w.OperationsPerSecond, Burst: w.Burst}
		}
	}
	return caps
}

// renewUsage adds to a response what the VM may start of each workspace with a usage cap. The grants of
// the response must be there.
func (l *Leader) renewUsage(now time.Time, r *wire.RenewRequest, response *wire.RenewResponse) {
	response.Allowances = l.usage.Renew(now, quota.Renewal{
		VM: r.GetVm(), Leased: quota.Leased(response.GetGrants()), Recovering: !l.recoveryComplete(now), Usage: r.GetUsage(), Partial: r.GetUsagePartial(),
	})
	response.AllowanceMilliseconds = uint32(l.usage.RequestInterval().Milliseconds())
}
