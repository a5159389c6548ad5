package control

import "expvar"

// metrics holds the counters of one control VM, published under its name.
type metrics struct {
	leaderships  expvar.Int
	syncs        expvar.Int
	dropped      expvar.Int
	queries      expvar.Int
	orders       expvar.Int
	failedOrders expvar.Int
	renewals     expvar.Int
	abandoned    expvar.Int
	forwarded    expvar.Int
	changes      expvar.Int
	all          expvar.Map
}

func newMetrics(vm string, limits expvar.Var) *metrics {
	m := &metrics{}
	m.all.Set("leaderships", &m.leaderships)
	m.all.Set("syncs", &m.syncs)
	m.all.Set("dropped-messages", &m.dropped)
	m.all.Set("status-queries", &m.queries)
	m.all.Set("orders", &m.orders)
	m.all.Set("failed-orders", &m.failedOrders)
	m.all.Set("renewals", &m.renewals)
	m.all.Set("abandoned-renewals", &m.abandoned)
	m.all.Set("forwarded-announcements", &m.forwarded)
	m.all.Set("changes", &m.changes)
	m.all.Set("limits", limits)
	name := "trefoil-control-" + vm
	if expvar.Get(name) == nil {
		expvar.Publish(name, &m.all)
	}
	return m
}
