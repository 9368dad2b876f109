package ladderplan

import "lacewingladder/ladderflow"

// TeamUsed returns what the runs of a team occupy on all workers, as far as the leader knows.
func (p *Planner) TeamUsed(team string) ladderflow.Size { return p.ledger.Used(team) }
