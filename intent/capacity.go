package intent

import "time"

// Capacity counts the backend servers of a service and their slots, in one region or in
// all regions.
type Capacity struct {
	// UsableServers is the number of backend servers that aren't draining.
	UsableServers int
	// TotalSlots is the number of slots of all backend servers.
	TotalSlots int
	// UsableSlots is the number of slots of the servers that aren't draining.
	UsableSlots int
}

// Capacity returns the capacity of a service in a region, or in all regions if
// region is empty.
func (c *Configuration) Capacity(service *Service, region string) Capacity {
	var capacity Capacity
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		if region != "" && server.Region != region {
			continue
		}
		capacity.TotalSlots += server.Slots
		if !c.ServerDraining(server) {
			capacity.UsableServers++
			capacity.UsableSlots += server.Slots
		}
	}
	return capacity
}

// RequestRate returns how many requests per second the usable slots can serve, or
// 0 if the service has no ServiceTime.
func (c Capacity) RequestRate(service *Service) float64 {
	if service.ServiceTime == 0 {
		return 0
	}
	return float64(c.UsableSlots) / time.Duration(service.ServiceTime).Seconds()
}
