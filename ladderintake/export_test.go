package ladderintake

// MaxTurns is the bound of the callers that are remembered.
const MaxTurns = maxTurns

// Met returns the shares of the teams' demands for which there is room.
func Met(s *ServiceLoad, c Class) []float64 { return s.met(c) }

// TurnCount returns the number of callers that a gate remembers.
func TurnCount(g *Gate) int { return len(g.turns.callers) }
