// Package measure runs the daemons at the users' sizes under seeded traffic and faults, and
// judges what callers were told by what the stand-ins ran.
package measure
