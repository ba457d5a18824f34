package call

// Repeats is the allowance that every kind of repeat draws on: a small share of real calls.
type Repeats struct {
	share  int64
	atOnce int64
	parts  int64
}

const whole = 100

func (repeats *Repeats) Set(share, atOnce int64) {
	if repeats.share == 0 && repeats.parts == 0 {
		repeats.parts = min(atOnce, 1) * whole
	}
	repeats.share, repeats.atOnce = share, atOnce
}

func (repeats *Repeats) Real() {
	repeats.parts = min(repeats.parts+repeats.share, repeats.atOnce*whole)
}

func (repeats *Repeats) Take() bool {
	if repeats.parts < whole {
		return false
	}
	repeats.parts -= whole
	return true
}
