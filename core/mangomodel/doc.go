// Package mangomodel declares the identifiers, units, enumerations and faults
// that the other packages of mangolane share.
//
// The package declares values only. It starts no goroutine, reads no clock and
// imports no other package of the project, so commands, queries and adapters
// can all depend on it.
//
// # Usage
//
// Identifiers and units are distinct named types, so that a count of tokens
// cannot be passed where a count of bytes is meant:
//
//	need := mangomodel.PiecesFor(promptTokens+maxTokens, pieceTokens)
//
// The failure of a step is a [Fault], which names the step and the peer at which
// it occurred and whether the work may have run:
//
//	return mangomodel.NewFault(mangomodel.StepAdmission, peer,
//		mangomodel.CodeOverloaded, mangomodel.RunNot, err)
package mangomodel

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Rank -trimprefix=Rank -text -output=rank_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Role -trimprefix=Role -text -output=role_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=ServerState -trimprefix=Server -text -output=serverstate_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Step -trimprefix=Step -text -output=step_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Code -trimprefix=Code -text -output=code_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Run -trimprefix=Run -text -output=run_string.go
