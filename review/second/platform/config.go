package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of the operator's configuration.
type route struct {
	Prefix, Kind, Service string
	Timeout, Target       int // ms
	Priority, Attempts    int
}

// tenant is a tenant of the operator's configuration.
type tenant struct {
	Name        string
	Keys        []string
	Rate, Burst any // nil for no limit
}

// host is the host of all routes.
const host = "hulo84.example"

// configuration returns a configuration with the columns that PROTOCOL.md names. Without tenants (nil), requests need no keys.
func configuration(version int, services []string, routes []route, tenants []tenant) (string, error) {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	routeTable := table{Columns: []string{"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "max_attempts", "service", "traffic_split"}}
	for i, r := range routes {
		routeTable.Rows = append(routeTable.Rows, []any{fmt.Sprintf("route-%d", i), host, r.Prefix, r.Kind, r.Timeout, r.Target, r.Priority, r.Attempts, r.Service, nil})
	}
	serviceTable := table{Columns: []string{"name", "health_path", "max_conns"}}
	for _, service := range services {
		serviceTable.Rows = append(serviceTable.Rows, []any{service, "/health", 390})
	}
	document := map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routeTable, "services": serviceTable,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		tenantTable := table{Columns: []string{"name", "api_keys", "priority", "rate_per_s", "burst"}}
		for _, t := range tenants {
			tenantTable.Rows = append(tenantTable.Rows, []any{t.Name, t.Keys, nil, t.Rate, t.Burst})
		}
		document["tenants"] = tenantTable
	}
	text, err := json.Marshal(document)
	return string(text), err
}

// publish writes a configuration as the operator.
func (world *world) publish(version int, services []string, routes []route, tenants []tenant) error {
	text, err := configuration(version, services, routes, tenants)
	if err != nil {
		return err
	}
	world.store.put("op/config", text)
	world.record.printf("the store acknowledged version r%d: %s", version, text)
	return nil
}
