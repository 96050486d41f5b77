#include "core/bufferaccount.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

using Core::BufferAccount;
using Core::BufferHolder;
using Core::Bytes;

namespace {

struct Account {
    std::shared_ptr<BufferAccount> account = std::make_shared<BufferAccount>(Bytes(1000));
    const BufferHolder nobody { "" };
    const BufferHolder large { "large" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABufferAccount, Account)

BOOST_AUTO_TEST_CASE(TakesNoMoreThanFitsUntilSomeIsReturned)
{
    auto first = account->reserve(Bytes(600), nobody);
    BOOST_TEST(first.has_value());
    BOOST_TEST(!account->reserve(Bytes(401), nobody));
    BOOST_TEST(account->reserve(Bytes(400), nobody).has_value());
    first.reset();
    BOOST_TEST(account->used().value() == 0U);
    BOOST_TEST(account->highest().value() == 1000U);
    BOOST_TEST(account->reserve(Bytes(1000), nobody).has_value());
}

BOOST_AUTO_TEST_CASE(CountsWhatTurnsOutLarger)
{
    auto grown = account->reserve(Bytes(100), nobody);
    grown->resize(Bytes(1200));
    BOOST_TEST(!account->reserve(Bytes(0), nobody));
    grown->resize(Bytes(10));
    BOOST_TEST(account->used().value() == 10U);
    BOOST_TEST(account->reserve(Bytes(990), nobody).has_value());
}

BOOST_AUTO_TEST_CASE(LeavesOthersRoomBesideOneHolder)
{
    auto half = account->reserve(Bytes(500), large);
    BOOST_TEST(half.has_value());
    BOOST_TEST(!account->reserve(Bytes(1), large));
    BOOST_TEST(account->reserve(Bytes(500), BufferHolder("another")).has_value());
    half->resize(Bytes(100));
    BOOST_TEST(account->reserve(Bytes(400), large).has_value());
}

BOOST_AUTO_TEST_CASE(IsBalancedAmongThreads)
{
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number)
        threads.emplace_back([this, holder = BufferHolder(std::to_string(number % 2))] {
            for (std::uint64_t round = 0; round < 1000; ++round) {
                if (auto reserved = account->reserve(Bytes(round % 400), holder))
                    reserved->resize(Bytes(round % 400 / 2));
            }
        });
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(account->used().value() == 0U);
    BOOST_TEST(account->highest().value() <= 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
