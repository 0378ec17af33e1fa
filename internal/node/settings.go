package node

import "time"

// Settings are the settings of a node, read by its platform adapter.
type Settings struct {
	VM             string
	FailureDomain  string
	Region         string
	FailureDomains []string
	IP             string
	// CallerListenAddress, ReadinessListenAddress and DirectoryListenAddress are the listen addresses for callers, for the
	// platform's readiness checks and for the directory of caller addresses.
	CallerListenAddress, ReadinessListenAddress, DirectoryListenAddress string
	// LinkPort is the UDP and TCP port for traffic between VMs; it is the same on all VMs.
	LinkPort int
	// Seeds are addresses at which other VMs may run. They are used to find VMs when the store is unavailable at the start.
	Seeds []string
	// StoreAddress and CloudAddress are the addresses of the platform's store and of its API for orders and usage reports.
	StoreAddress, CloudAddress string
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// RevokeBound bounds the time until a withdrawn key is refused, ApplyBound the time until a new configuration is in force.
	RevokeBound time.Duration
	ApplyBound  time.Duration
	// RetryRatio and RetrySlack bound the retries of all VMs together in a sliding window of RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Lease is the TTL of the duties lease. The platform treats calls of two holders that alternate within this time as a conflict.
	Lease       time.Duration
	UsageWindow time.Duration
	// UsageLimit is the time from the end of a usage window until its report is due.
	UsageLimit time.Duration
	// DirectoryTTL is the longest TTL of directory responses that callers accept; 0 sets no limit.
	DirectoryTTL time.Duration
	// ReportsUsage and OrdersEndpoints enable the duties that this node performs.
	ReportsUsage, OrdersEndpoints bool
	// MemoryMB is the memory in MiB above which the process is killed; 0 sets no limit.
	MemoryMB int64
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// FileDescriptors is the number of file descriptors that the process may open; 0 means unknown.
	FileDescriptors int64
	// MetricsPort is the port for metrics; 0 disables them.
	MetricsPort int
}
