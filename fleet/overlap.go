package fleet

import "time"

// fieldOverlay holds the faults that set one field. Overlapping faults end independently, and the latest active one determines the value.
type fieldOverlay struct {
	active []*func()
	reset  func()
}

// overlayField sets a field to a value for a span; onEnd, unless nil, runs after the overlay has ended.
func overlayField[Value any](fleet *Fleet, field *Value, value Value, span time.Duration, onEnd func()) {
	existing, found := fleet.overlays[field]
	if !found {
		base := *field
		existing = &fieldOverlay{reset: func() { *field = base }}
		fleet.overlays[field] = existing
	}
	apply := func() { *field = value }
	existing.active = append(existing.active, &apply)
	apply()
	fleet.World.After(span, func() {
		if fleet.overlays[field] != existing {
			return
		}
		existing.remove(&apply)
		if len(existing.active) == 0 {
			delete(fleet.overlays, field)
		}
		if onEnd != nil {
			onEnd()
		}
	})
}

// remove ends one fault and restores the value of the latest remaining one, or the original.
func (overlay *fieldOverlay) remove(ended *func()) {
	for index, apply := range overlay.active {
		if apply == ended {
			overlay.active = append(overlay.active[:index:index], overlay.active[index+1:]...)
			break
		}
	}
	overlay.reset()
	if count := len(overlay.active); count > 0 {
		(*overlay.active[count-1])()
	}
}

// removeOverlays ends all overlays and restores the original values.
func (fleet *Fleet) removeOverlays() {
	for _, existing := range fleet.overlays {
		existing.reset()
	}
	fleet.overlays = map[any]*fieldOverlay{}
}
