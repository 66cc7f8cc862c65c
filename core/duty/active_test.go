package duty_test

import (
	"testing"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

func TestChosen(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	capacities := map[string]duty.Capacity{"c": {MilliCores: 800}, "d": {MilliCores: 400}, "a": {MilliCores: 100}}
	t.Run("those with the most capacity stay, and of equal ones the first by name", func(t *testing.T) {
		is.New(t).Equal(duty.Chosen(members, nil, capacities, 3), []string{"c", "d", "a"})
	})
	t.Run("holders stay", func(t *testing.T) {
		is.New(t).Equal(duty.Chosen(members, map[string]bool{"b": true}, capacities, 2), []string{"b", "c"})
	})
	t.Run("all stay if there are not enough", func(t *testing.T) {
		is.New(t).Equal(len(duty.Chosen(members, nil, capacities, 9)), 4)
	})
}

func TestCallFor(t *testing.T) {
	is := is.New(t)
	wanted := duty.Wanted(5)
	is.Equal(duty.CallFor(wanted+3, wanted), duty.CallNone)
	is.Equal(duty.CallFor(wanted, wanted), duty.CallNone)
	is.Equal(duty.CallFor(wanted-1, wanted), duty.CallSome)
	is.Equal(duty.CallFor(wanted/2, wanted), duty.CallAll)
	is.Equal(duty.CallFor(0, wanted), duty.CallAll)
}
