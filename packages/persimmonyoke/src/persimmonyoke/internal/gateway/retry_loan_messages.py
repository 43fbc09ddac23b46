"""Format of the datagrams by which hosts lend each other retries."""

from collections.abc import Sequence
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.retry_loans import Loan, LoanRequest

LOAN_REQUEST_FORMAT, LOAN_FORMAT = 12, 13


def encode_loan_request(request: LoanRequest) -> bytes:
    """Encode a request as one datagram."""
    return cbor2.dumps(
        [
            LOAN_REQUEST_FORMAT,
            request.borrower,
            request.service,
            request.number,
            request.count,
        ]
    )


def encode_loan(loan: Loan) -> bytes:
    """Encode a loan as one datagram."""
    return cbor2.dumps(
        [LOAN_FORMAT, loan.lender, loan.service, loan.number, loan.count]
    )


def decode_loan_request(values: Sequence[Any]) -> LoanRequest:
    """Decode a request from the fields of a datagram; raise ``ProtocolError``."""
    match values:
        case [str(borrower), str(service), int(number), int(count)] if count > 0:
            return LoanRequest(borrower, service, number, count)
    raise ProtocolError("malformed request of a loan of retries")


def decode_loan(values: Sequence[Any]) -> Loan:
    """Decode a loan from the fields of a datagram; raise ``ProtocolError``."""
    match values:
        case [str(lender), str(service), int(number), int(count)] if count > 0:
            return Loan(lender, service, number, count)
    raise ProtocolError("malformed loan of retries")
