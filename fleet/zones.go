package fleet

// minForgetZones is the number of zones from which on those that are no longer in
// use are looked for.
const minForgetZones = 32

// forgetZones forgets the zones of upstreams and VMs that are gone, once as many
// have been added as were in use the last time. Indexes of zones hold within a
// tick only.
func (t *Tables) forgetZones() {
	if t.Zones.Count() < max(t.Zones.forgetAt, minForgetZones) {
		return
	}
	t.Zones.names = nil
	t.Zones.Index(t.Self.Zone)
	for _, row := range t.Upstreams.Rows {
		t.Zones.Index(row.Zone)
	}
	for _, row := range t.VMs.Rows {
		t.Zones.Index(row.Zone)
	}
	t.Zones.forgetAt = 2 * t.Zones.Count()
}
