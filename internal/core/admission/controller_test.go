package admission

import (
	"math"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func TestAdmissionRate(t *testing.T) {
	controller := New(balancer.AdmissionRate, 1, DefaultLimits)
	controller.SetAdmission(1000, 0, 50, 1)
	admitted := 0
	for i := range 1000 { // 100 per second
		if _, err := controller.Admit(1000+float64(i)*0.01, 0); err == nil {
			admitted++
			controller.EndRequest()
		}
	}
	if math.Abs(float64(admitted)-500) > 20 {
		t.Errorf("admitted %d of 1000 requests within 10 s at a rate of 50 per second, want 480 to 520", admitted)
	}
}
