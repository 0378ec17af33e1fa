package node

import "time"

// Settings are the settings of a node, as its platform gives them.
type Settings struct {
	VM             string
	FailureDomain  string
	Region         string
	FailureDomains []string
	IP             string
	// CallerListenAddress, ReadinessListenAddress and DirectoryListenAddress are the listen addresses for callers, the
	// platform's checks and callers that ask where to connect.
	CallerListenAddress, ReadinessListenAddress, DirectoryListenAddress string
	// LinkPort is the port for traffic between VMs; it is the same on all VMs.
	LinkPort int
	// Seeds are addresses of VMs that may be up, to be found when the store is away at the start.
	Seeds []string
	// StoreAddress and CloudAddress are the addresses of the platform's store and of its interface for orders and reports.
	StoreAddress, CloudAddress string
	// Grace is the time from a planned stop to the end of the process.
	Grace        time.Duration
	RevokeWithin time.Duration
	ApplyWithin  time.Duration
	// RetryRatio and RetrySlack bound the retries of all VMs together in a sliding window.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Lease is the time within which the platform sees two holders of a duty that take turns as a conflict.
	Lease       time.Duration
	UsageWindow time.Duration
	// DirectoryTTL is the longest lifetime of directory answers that callers accept.
	DirectoryTTL                  time.Duration
	ReportsUsage, OrdersEndpoints bool
	// MemoryMB is the memory above which the process is killed; 0 when there is no limit.
	MemoryMB int64
	// MetricsPort is the port for metrics; 0 serves none.
	MetricsPort int
}
